package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/figstile/figstile/state"
)

// Request asks for the right to run one request that has an idempotency key.
type Request struct {
	Workspace state.Workspace
	Service   state.Service
	// Key is the caller's idempotency key.
	Key string
	// Attempt identifies the claim and also the dispatch made under it.
	Attempt state.AttemptID
}

// digestBytes is the length of a digest. At 16 bytes of a hash, two keys with
// the same digest are less likely than a hardware fault, even if a caller
// chooses keys to that end.
const digestBytes = 16

// Digest identifies the combination of workspace, service and key in a shard.
type Digest [digestBytes]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Digest returns the digest of the request's key. Each field is preceded by its
// length, so that moving bytes from one field to the next changes the digest.
func (r Request) Digest() Digest {
	var buf []byte
	for _, field := range []string{string(r.Workspace), string(r.Service), r.Key} {
		buf = binary.AppendUvarint(buf, uint64(len(field)))
		buf = append(buf, field...)
	}
	sum := sha256.Sum256(buf)
	return Digest(sum[:digestBytes])
}

// ShardOf returns the index of the shard that holds a digest.
func ShardOf(d Digest) int {
	return int(binary.BigEndian.Uint64(d[:8]) % Shards)
}
