package objectstore

import (
	"fmt"
	"strings"
)

// MaxKeyBytes is the longest key the platform takes.
const MaxKeyBytes = 512

// CheckKey returns an error of kind ErrInvalid unless the key is a relative
// path of non-empty segments. An HTTP server would rewrite any other path, so
// that a write would land on a different key.
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

// CheckPut returns an error of kind ErrInvalid for a bad key or a value that
// is too large.
func CheckPut(key string, value []byte) error {
	if len(value) > MaxValueBytes {
		return fmt.Errorf("%w: value of %d bytes for %s", ErrInvalid, len(value), key)
	}
	return CheckKey(key)
}
