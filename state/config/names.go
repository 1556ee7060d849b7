package config

import (
	"crypto/sha256"
	"encoding/hex"
	"regexp"
)

// Bounds on names. Names appear in store keys, URL paths, log lines and
// metric labels, so they hold no separators of those; model versions keep the
// separators that model registries use.
const (
	// MaxNameBytes leaves room for four names in one metric label set.
	MaxNameBytes = 64
	// MaxModelBytes admits a registry path and a digest of a version.
	MaxModelBytes = 200
)

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	modelPattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/@+-]*$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Digest is the SHA-256 digest of a bearer token.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a bearer token.
func DigestOf(token string) Digest {
	return sha256.Sum256([]byte(token))
}

// String returns the digest as objects hold it: lower-case hex.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// ShortDigits of a digest tell tokens apart in logs and history without
// revealing the token.
const ShortDigits = 8

// Short returns the first digits of the digest, to name a token in logs and
// in the history of changes.
func (d Digest) Short() string {
	return d.String()[:ShortDigits]
}

func parseDigest(s string) (Digest, bool) {
	var d Digest
	if !digestPattern.MatchString(s) {
		return d, false
	}
	_, err := hex.Decode(d[:], []byte(s))
	return d, err == nil
}

// checkName reports an empty, overlong or ill-formed name.
func (fs *faults) checkName(path, name string) {
	fs.checkPattern(path, name, MaxNameBytes, namePattern)
}

func (fs *faults) checkModel(path, name string) {
	fs.checkPattern(path, name, MaxModelBytes, modelPattern)
}

func (fs *faults) checkPattern(path, name string, limit int, pattern *regexp.Regexp) {
	switch {
	case name == "":
		fs.add(path, "must not be empty")
	case len(name) > limit:
		fs.add(path, "is longer than %d bytes", limit)
	case !pattern.MatchString(name):
		fs.add(path, "%q must match %s", name, pattern)
	}
}

// uniqueNames reports names that were seen before under another path.
type uniqueNames map[string]string

func (u uniqueNames) check(fs *faults, path, name string) {
	if name == "" {
		return
	}
	if first, ok := u[name]; ok {
		fs.add(path, "%q is already used by %s", name, first)
		return
	}
	u[name] = path
}

// checkDigests reports ill-formed digests and those that u already holds: a
// token that means two things would let one caller act as another.
func (fs *faults) checkDigests(path string, digests []string, u uniqueNames) {
	for i, s := range digests {
		if _, ok := parseDigest(s); !ok {
			fs.add(indexPath(path, i), "must be a SHA-256 digest as 64 lower-case hex digits")
			continue
		}
		u.checkDigest(fs, indexPath(path, i), s)
	}
}

func (u uniqueNames) checkDigest(fs *faults, path, digest string) {
	if first, ok := u[digest]; ok {
		fs.add(path, "this token is already used by %s", first)
		return
	}
	u[digest] = path
}
