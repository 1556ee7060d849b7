// Package endtoend separates the headers of a message that are meant for its
// final receiver from those that concern a single connection.
package endtoend

import (
	"net/http"
	"strings"
)

// hopByHopHeaders are the headers that concern a single connection and are not
// forwarded.
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

// internalPrefix is the prefix of headers that only the project's own processes
// set. They are not forwarded, so that a caller cannot impersonate a router,
// and an upstream cannot state a result.
const internalPrefix = "Figstile-"

// Copy copies the headers that are meant for the final receiver.
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
