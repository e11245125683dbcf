package replica

import (
	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

// patch turns the value of one revision of a key into the value of another: it holds the
// compressed new value, with the old one as the dictionary.
type patch struct {
	from, to int64
	data     []byte
}

const (
	// dictionaryID identifies the old value in a patch.
	dictionaryID = 1
	// minWindow is the minimum window size of the compression, in bytes; a power of two.
	minWindow = 64 << 10
	// maxValue limits the size of a value, in bytes.
	maxValue = 16 << 20
)

// windowFor returns the smallest window for size bytes.
func windowFor(size int) int {
	window := minWindow
	for window < size && window < maxValue {
		window <<= 1
	}
	return window
}

// compress compresses a value; old may be nil or a value to use as its dictionary.
func compress(value, old []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(windowFor(len(value) + len(old))),
	}
	if old != nil {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, old))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "compress value")
	}
	return encoder.EncodeAll(value, nil), nil
}

// decompress reverses compress and verifies the checksum.
func decompress(packed, old []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxValue),
	}
	if old != nil {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, old))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "decompress value")
	}
	defer decoder.Close()
	value, err := decoder.DecodeAll(packed, nil)
	return value, errors.Wrap(err, "decompress value")
}

// makePatch returns the patch from one version of a key to another.
func makePatch(from, to Item) (patch, error) {
	data, err := compress(to.Value, from.Value)
	if err != nil {
		return patch{}, err
	}
	return patch{from: from.Revision, to: to.Revision, data: data}, nil
}
