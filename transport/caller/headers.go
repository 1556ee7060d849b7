package caller

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/figstile/figstile/transport/endtoend"
)

// These are the headers of the API for callers.
const (
	HeaderDeadline       = "Figstile-Deadline"
	HeaderClass          = "Figstile-Class"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderBusy           = "Figstile-Busy-Ms"
)

const (
	// maxDeadline limits how far ahead a deadline may be. A later deadline is
	// more likely a mistake in units than intended.
	maxDeadline = 24 * time.Hour
	// maxClassBytes limits the length of a request class, which is used as a
	// label of metrics.
	maxClassBytes = 32
	// maxKeyBytes limits the length of an idempotency key, as is common in HTTP
	// APIs.
	maxKeyBytes = 255
)

// These errors describe faulty headers of a request; their text is sent to the
// caller.
var (
	errDeadline = errors.New("Figstile-Deadline is neither milliseconds nor an RFC 3339 time within a day")
	errClass    = errors.New("Figstile-Class is not a short word of letters, digits, '-', '_' and '.'")
	errKey      = errors.New("Idempotency-Key is not 1 to 255 visible ASCII characters, given once")
)

// requestHints holds the optional values that a caller sends in the headers of
// its request.
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

// parseDeadline returns the zero time if the header is empty.
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

// parseKey returns an error for an empty key or more than one key, because
// running the request without a key would drop the protection that the caller
// asked for.
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

// upstreamHeader returns the headers to send to an upstream. It removes the
// caller's token for this fleet. It also removes Accept-Encoding for engines,
// because tokens cannot be counted in a compressed stream.
func upstreamHeader(from http.Header, engine bool) http.Header {
	to := make(http.Header, len(from))
	endtoend.Copy(to, from)
	delete(to, "Authorization")
	if engine {
		delete(to, "Accept-Encoding")
	}
	return to
}
