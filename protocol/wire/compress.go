package wire

import (
	"fmt"

	"github.com/klauspost/compress/zstd"
)

const (
	// maxObjectBytes bounds an object after decompression: the platform's largest
	// value.
	maxObjectBytes = 1 << 20
	// dictionaryID tells frames with a dictionary from others.
	dictionaryID = 1
)

// Compress returns a zstd frame of a value. Base, if not empty, serves as its
// dictionary: of two versions of an object little but the difference is left.
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
		// Only options out of range are refused.
		panic(err)
	}
	defer encoder.Close()
	return encoder.EncodeAll(value, nil)
}

// Decompress returns the value of a frame that Compress made with the same base.
func Decompress(frame, base []byte) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxObjectBytes)}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("decompression: %w", err)
	}
	defer decoder.Close()
	value, err := decoder.DecodeAll(frame, nil)
	if err != nil {
		return nil, fmt.Errorf("decompression: %w", err)
	}
	return value, nil
}
