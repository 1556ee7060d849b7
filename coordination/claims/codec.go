package claims

import (
	"bytes"
	"encoding/binary"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figstile/figstile/state"
)

// magic begins the object of a segment. It is followed by the number of the
// segment in the chain, a flag, the claimers, the entries in order of their
// digests, and a checksum. An entry refers to its claimer by index, which keeps
// it at 31 bytes.
var magic = []byte("fsc2")

const (
	entryBytes    = digestBytes + 2 + 8 + 1 + 4
	checksumBytes = 8
	headerBytes   = 8 + 1
	// maxClaimers is the number of claimers that the 16-bit index of an entry
	// can refer to.
	maxClaimers = 1 << 16
	// maxNameBytes bounds the length of a router's name in an object.
	maxNameBytes = 255
)

// Values of the flag of a segment.
const (
	flagOpen = iota
	flagSealed
)

// errFormat is returned for an object that is not a segment of this format.
// Such an object is never overwritten, because it may hold claims.
var errFormat = errors.New("claims: object is not a segment of this format")

// errFull is returned for a segment that does not fit into its object.
var errFull = errors.New("claims: segment does not fit into its object")

type claimer struct {
	router      state.Router
	incarnation state.Incarnation
}

func claimerOf(a state.AttemptID) claimer { return claimer{a.Router, a.Incarnation} }

// Encode returns the binary form of the segment.
func (s *Segment) Encode() ([]byte, error) {
	index, order := s.claimers()
	if len(order) > maxClaimers {
		return nil, errFull
	}
	buf := make([]byte, 0, len(magic)+headerBytes+len(order)*32+len(s.Entries)*entryBytes+checksumBytes)
	buf = append(buf, magic...)
	buf = binary.BigEndian.AppendUint64(buf, s.Number)
	buf = append(buf, s.flag())
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(order)))
	for _, c := range order {
		if len(c.router) > maxNameBytes {
			return nil, errFormat
		}
		buf = append(buf, byte(len(c.router)))
		buf = append(buf, c.router...)
		buf = binary.BigEndian.AppendUint64(buf, uint64(c.incarnation))
	}
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(s.Entries)))
	for i := range s.Entries {
		buf = appendEntry(buf, &s.Entries[i], index)
	}
	buf = binary.BigEndian.AppendUint64(buf, xxhash.Sum64(buf))
	if len(buf) > MaxShardBytes {
		return nil, errFull
	}
	return buf, nil
}

func (s *Segment) flag() byte {
	if s.Sealed {
		return flagSealed
	}
	return flagOpen
}

// claimers numbers the claimers in the order of their first entry.
func (s *Segment) claimers() (index map[claimer]uint16, order []claimer) {
	index = make(map[claimer]uint16)
	for i := range s.Entries {
		c := claimerOf(s.Entries[i].Claim)
		if _, ok := index[c]; !ok {
			index[c] = uint16(len(order))
			order = append(order, c)
		}
	}
	return index, order
}

func appendEntry(buf []byte, e *Entry, index map[claimer]uint16) []byte {
	buf = append(buf, e.Digest[:]...)
	buf = binary.BigEndian.AppendUint16(buf, index[claimerOf(e.Claim)])
	buf = binary.BigEndian.AppendUint64(buf, e.Claim.Sequence)
	buf = append(buf, byte(e.Status))
	return binary.BigEndian.AppendUint32(buf, uint32(e.ClaimedAt.Unix()))
}

// Decode parses a segment. An empty value is the empty first segment.
func Decode(value []byte) (*Segment, error) {
	if len(value) == 0 {
		return &Segment{}, nil
	}
	body := value[:max(len(value)-checksumBytes, 0)]
	r := &reader{rest: body}
	if !bytes.Equal(r.take(len(magic)), magic) {
		return nil, errFormat
	}
	if binary.BigEndian.Uint64(value[len(body):]) != xxhash.Sum64(body) {
		return nil, errFormat
	}
	segment := &Segment{Number: binary.BigEndian.Uint64(r.take(8))}
	flag := r.take(1)[0]
	segment.Sealed = flag == flagSealed
	claimers := r.claimers()
	segment.Entries = r.entries(claimers)
	if r.failed || len(r.rest) > 0 || flag > flagSealed {
		return nil, errFormat
	}
	return segment, nil
}

// reader reads fields from a value and records whether any read failed.
type reader struct {
	rest   []byte
	failed bool
}

func (r *reader) take(n int) []byte {
	if n > len(r.rest) {
		r.failed = true
		return make([]byte, n)
	}
	field := r.rest[:n]
	r.rest = r.rest[n:]
	return field
}

func (r *reader) count(entrySize int) int {
	n := int(binary.BigEndian.Uint32(r.take(4)))
	if n*entrySize > len(r.rest) {
		r.failed = true
		return 0
	}
	return n
}

func (r *reader) claimers() []claimer {
	order := make([]claimer, r.count(1+8))
	for i := range order {
		name := r.take(int(r.take(1)[0]))
		order[i].router = state.Router(name)
		order[i].incarnation = state.Incarnation(binary.BigEndian.Uint64(r.take(8)))
	}
	return order
}

func (r *reader) entries(claimers []claimer) []Entry {
	entries := make([]Entry, r.count(entryBytes))
	for i := range entries {
		entries[i] = r.entry(claimers)
		if i > 0 && bytes.Compare(entries[i-1].Digest[:], entries[i].Digest[:]) >= 0 {
			r.failed = true
		}
	}
	return entries
}

func (r *reader) entry(claimers []claimer) Entry {
	e := Entry{Digest: Digest(r.take(digestBytes))}
	claimerIndex := int(binary.BigEndian.Uint16(r.take(2)))
	e.Claim.Sequence = binary.BigEndian.Uint64(r.take(8))
	e.Status = Status(r.take(1)[0])
	e.ClaimedAt = time.Unix(int64(binary.BigEndian.Uint32(r.take(4))), 0).UTC()
	if claimerIndex >= len(claimers) || e.Status < StatusRunning || e.Status > StatusReleased {
		r.failed = true
		return e
	}
	e.Claim.Router = claimers[claimerIndex].router
	e.Claim.Incarnation = claimers[claimerIndex].incarnation
	return e
}
