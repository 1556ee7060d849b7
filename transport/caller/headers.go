package caller

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/figstile/figstile/transport/endtoend"
)

// The headers of the caller API.
const (
	HeaderDeadline       = "Figstile-Deadline"
	HeaderClass          = "Figstile-Class"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderBusy           = "Figstile-Busy-Ms"
)

const (
	// maxDeadline bounds how far ahead a deadline may lie; a later one is
	// nearer to a mistake in units than to patience.
	maxDeadline = 24 * time.Hour
	// maxClassBytes bounds a class, which becomes a label of metrics.
	maxClassBytes = 32
	// maxKeyBytes bounds an idempotency key, as common APIs do.
	maxKeyBytes = 255
)

// Faults in a request's headers; their text goes to the caller.
var (
	errDeadline = errors.New("Figstile-Deadline is neither milliseconds nor an RFC 3339 time within a day")
	errClass    = errors.New("Figstile-Class is not a short word of letters, digits, '-', '_' and '.'")
	errKey      = errors.New("Idempotency-Key is not 1 to 255 visible ASCII characters, given once")
)

// requestHints are what a caller says of its request in headers.
type requestHints struct {
	deadline time.Time
	class    string
	key      string
}

func parseHints(header http.Header, now time.Time) (requestHints, error) {
	var h requestHints
	var err error
	if h.deadline, err = parseDeadline(header.Get(HeaderDeadline), now); err != nil {
		return requestHints{}, err
	}
	if h.class, err = parseClass(header.Get(HeaderClass)); err != nil {
		return requestHints{}, err
	}
	if h.key, err = parseKey(header[HeaderIdempotencyKey]); err != nil {
		return requestHints{}, err
	}
	return h, nil
}

// parseDeadline returns zero if the caller named none.
func parseDeadline(value string, now time.Time) (time.Time, error) {
	if value == "" {
		return time.Time{}, nil
	}
	deadline, err := time.Parse(time.RFC3339, value)
	if err != nil {
		millis, err := strconv.ParseUint(value, 10, 32)
		if err != nil {
			return time.Time{}, errDeadline
		}
		deadline = now.Add(time.Duration(millis) * time.Millisecond)
	}
	if deadline.Sub(now) > maxDeadline {
		return time.Time{}, errDeadline
	}
	return deadline, nil
}

func parseClass(value string) (string, error) {
	if len(value) > maxClassBytes {
		return "", errClass
	}
	for i := range len(value) {
		if !isClassByte(value[i]) {
			return "", errClass
		}
	}
	return value, nil
}

func isClassByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	default:
		return c == '-' || c == '_' || c == '.'
	}
}

// parseKey refuses an empty or a second key rather than to run the request
// without the protection its caller asked for.
func parseKey(values []string) (string, error) {
	if len(values) == 0 {
		return "", nil
	}
	key := values[0]
	if len(values) > 1 || key == "" || len(key) > maxKeyBytes {
		return "", errKey
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return "", errKey
		}
	}
	return key, nil
}

func bearerToken(header http.Header) string {
	scheme, token, _ := strings.Cut(header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// upstreamHeader returns what an upstream sees of the caller's headers. The
// fleet's token is not its business. Engines are asked for plain text, because
// tokens cannot be counted in a compressed stream.
func upstreamHeader(from http.Header, engine bool) http.Header {
	to := make(http.Header, len(from))
	endtoend.Copy(to, from)
	delete(to, "Authorization")
	if engine {
		delete(to, "Accept-Encoding")
	}
	return to
}
