package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/figstile/figstile/state"
)

// Request asks for the right to run one keyed request.
type Request struct {
	Workspace state.Workspace
	Service   state.Service
	// Key is the caller's idempotency key.
	Key string
	// Attempt identifies the claim as well as the dispatch made under it.
	Attempt state.AttemptID
}

// digestBytes of a hash make two keys that share a digest less likely than a
// fault of the machine, also where a caller chooses keys to that end.
const digestBytes = 16

// Digest stands for workspace, service and key in a shard.
type Digest [digestBytes]byte

// String returns the digest in hex.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Digest returns the digest of the request's key. Each field goes in with its
// length, so that no two requests agree by shifting bytes between fields.
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
