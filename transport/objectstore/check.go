package objectstore

import (
	"fmt"
	"strings"
)

// MaxKeyBytes is the length in bytes of the longest key that the platform
// accepts.
const MaxKeyBytes = 512

// CheckKey returns an error of kind ErrInvalid unless the key is a relative
// path of non-empty segments. An HTTP server would rewrite any other path, and
// a write would change a different key.
func CheckKey(key string) error {
	if len(key) > MaxKeyBytes {
		return fmt.Errorf("%w: key of %d bytes", ErrInvalid, len(key))
	}
	for segment := range strings.SplitSeq(key, "/") {
		if segment == "" || segment == "." || segment == ".." {
			return fmt.Errorf("%w: key %q", ErrInvalid, key)
		}
	}
	return nil
}

// CheckPut returns an error of kind ErrInvalid if the key is invalid or the
// value is too large.
func CheckPut(key string, value []byte) error {
	if len(value) > MaxValueBytes {
		return fmt.Errorf("%w: value of %d bytes for %s", ErrInvalid, len(value), key)
	}
	return CheckKey(key)
}
