package wire

import (
	"fmt"

	"github.com/klauspost/compress/zstd"
)

const (
	// maxObjectBytes bounds the size of a decompressed object. It equals the
	// platform's limit on values.
	maxObjectBytes = 1 << 20
	// dictionaryID distinguishes frames that need a dictionary from other
	// frames.
	dictionaryID = 1
)

// Compress returns a zstd frame of a value. A non-empty base is used as the
// dictionary, so a frame of a new version of an object contains little more
// than the difference from the base.
func Compress(value, base []byte) []byte {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(maxObjectBytes),
		zstd.WithEncoderLevel(zstd.SpeedFastest),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		// NewWriter fails only for options that are out of range.
		panic(err)
	}
	defer encoder.Close()
	return encoder.EncodeAll(value, nil)
}

// Decompress returns the value of a frame that Compress produced with the same
// base.
func Decompress(frame, base []byte) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxObjectBytes)}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("decompress object: %w", err)
	}
	defer decoder.Close()
	value, err := decoder.DecodeAll(frame, nil)
	if err != nil {
		return nil, fmt.Errorf("decompress object: %w", err)
	}
	return value, nil
}
