// Package endtoend tells the headers that are meant for the other end of a
// request from those that concern one connection only.
package endtoend

import (
	"net/http"
	"strings"
)

// hopByHopHeaders concern one connection only and are not passed on.
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Expect":              true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
}

// internalPrefix marks headers that only the project's own processes set. They are
// dropped on the way through, so that a caller cannot pose as a router nor an
// upstream state a result.
const internalPrefix = "Figstile-"

// Copy copies the headers that are meant for the other end.
func Copy(to, from http.Header) {
	for name, values := range from {
		if hopByHopHeaders[name] || strings.HasPrefix(name, internalPrefix) {
			continue
		}
		to[name] = values
	}
	for _, list := range from["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
}
