package config

import (
	"crypto/sha256"
	"encoding/hex"
	"regexp"
)

// Bounds on names. Names appear in store keys, URL paths, log lines and metric
// labels, so they must not contain the separators used there. Model versions
// may contain the separators that model registries use.
const (
	// MaxNameBytes is short enough for four names in the labels of one metric.
	MaxNameBytes = 64
	// MaxModelBytes is long enough for a registry path with the digest of a
	// version.
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

// String returns the digest in lower-case hex, as it is stored in objects.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// ShortDigits is the number of hex digits that identify a token in logs and
// histories without revealing it.
const ShortDigits = 8

// Short returns the first ShortDigits digits of the digest, which identify a
// token in logs and in the history of changes.
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

// checkName adds a fault for a name that is empty, too long or does not match
// namePattern.
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

// uniqueNames maps each name or token digest to the path where it was first
// seen, in order to report duplicates.
type uniqueNames map[string]string

func (u uniqueNames) check(fs *faults, path, name string) {
	if name == "" {
		return
	}
	if firstPath, ok := u[name]; ok {
		fs.add(path, "%q is already used by %s", name, firstPath)
		return
	}
	u[name] = path
}

// checkDigests adds a fault for each malformed digest and for each digest that
// u already contains. If one token stood for two principals, one caller could
// act as another.
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
	if firstPath, ok := u[digest]; ok {
		fs.add(path, "this token is already used by %s", firstPath)
		return
	}
	u[digest] = path
}
