package wire

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/figstile/figstile/protocol/peerpb"
)

const (
	// MaxPackedObjectBytes is the size up to which an encoded object may be part
	// of a pack. Larger ones have to be sent in messages of their own.
	MaxPackedObjectBytes = 64 << 10
	// maxPackBytes is the size from which a pack is closed, before compression.
	// With one more object it is well below the limit for decompression.
	maxPackBytes = 128 << 10
)

// PackObjects encodes objects as few compressed packs. Thousands of objects as
// one message each would fill the send queue of a session.
func PackObjects(objects []*peerpb.ConfigObject) ([][]byte, error) {
	var packs [][]byte
	var pending bytes.Buffer
	for _, o := range objects {
		if _, err := protodelim.MarshalTo(&pending, o); err != nil {
			return nil, fmt.Errorf("pack object %q: %w", o.GetKey(), err)
		}
		if pending.Len() >= maxPackBytes {
			packs = append(packs, Compress(pending.Bytes(), nil))
			pending.Reset()
		}
	}
	if pending.Len() > 0 {
		packs = append(packs, Compress(pending.Bytes(), nil))
	}
	return packs, nil
}

// UnpackObjects returns the objects of a pack. A malformed pack yields an error
// and no objects.
func UnpackObjects(pack []byte) ([]*peerpb.ConfigObject, error) {
	content, err := Decompress(pack, nil)
	if err != nil {
		return nil, err
	}
	reader := bytes.NewReader(content)
	var objects []*peerpb.ConfigObject
	for {
		o := new(peerpb.ConfigObject)
		switch err := protodelim.UnmarshalFrom(reader, o); {
		case errors.Is(err, io.EOF):
			return objects, nil
		case err != nil:
			return nil, fmt.Errorf("unpack objects: %w", err)
		case len(objects) >= MaxEntries:
			return nil, &Error{Code: CodeTooMany, Field: "pack.objects"}
		}
		objects = append(objects, o)
	}
}
