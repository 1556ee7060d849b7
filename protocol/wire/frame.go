package wire

import (
	"bufio"
	"bytes"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/figstile/figstile/protocol/peerpb"
)

const (
	// MaxControlFrameBytes bounds a frame with a scheduling message or a
	// heartbeat. A full usage message with some thousand counters fits.
	MaxControlFrameBytes = 256 << 10
	// MaxBulkFrameBytes bounds a frame with a configuration object. It has room
	// for the platform's largest value, its key and the framing.
	MaxBulkFrameBytes = 1<<20 + 4<<10
)

// AppendFrame appends one length-delimited envelope to a buffer.
func AppendFrame(buf []byte, env *peerpb.Envelope) ([]byte, error) {
	out := bytes.NewBuffer(buf)
	if _, err := protodelim.MarshalTo(out, env); err != nil {
		return buf, err
	}
	return out.Bytes(), nil
}

// FrameReader reads length-delimited envelopes from a stream.
type FrameReader struct {
	reader  *bufio.Reader
	options protodelim.UnmarshalOptions
}

// NewFrameReader returns a reader that rejects frames longer than maxFrameBytes
// before it allocates memory for them.
func NewFrameReader(in *bufio.Reader, maxFrameBytes int64) *FrameReader {
	return &FrameReader{reader: in, options: protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}}
}

// Next returns the next envelope. After an error, the position of the next
// frame is unknown and the stream must be closed.
func (r *FrameReader) Next() (*peerpb.Envelope, error) {
	env := new(peerpb.Envelope)
	if err := r.options.UnmarshalFrom(r.reader, env); err != nil {
		return nil, err
	}
	return env, nil
}
