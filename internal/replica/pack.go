package replica

import (
	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

// patch makes the value of one revision of a key out of that of another: the
// compressed new value, with the old one as its dictionary.
type patch struct {
	from, to int64
	data     []byte
}

const (
	// dictionary names the old value in a patch.
	dictionary = 1
	// leastWindow is how far back the compression looks at the least, in bytes;
	// a power of two.
	leastWindow = 64 << 10
	// mostValue bounds a value, in bytes.
	mostValue = 16 << 20
)

// windowFor is the smallest window over so many bytes.
func windowFor(size int) int {
	window := leastWindow
	for window < size && window < mostValue {
		window <<= 1
	}
	return window
}

// compress packs a value; old may be its dictionary.
func compress(value, old []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(windowFor(len(value) + len(old))),
	}
	if old != nil {
		options = append(options, zstd.WithEncoderDictRaw(dictionary, old))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "compress a value")
	}
	return encoder.EncodeAll(value, nil), nil
}

// expand unpacks what compress has made; its checksum is checked.
func expand(packed, old []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(mostValue),
	}
	if old != nil {
		options = append(options, zstd.WithDecoderDictRaw(dictionary, old))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "expand a value")
	}
	defer decoder.Close()
	value, err := decoder.DecodeAll(packed, nil)
	return value, errors.Wrap(err, "expand a value")
}

// makePatch leads from one version of a key to another.
func makePatch(from, to Item) (patch, error) {
	data, err := compress(to.Value, from.Value)
	if err != nil {
		return patch{}, err
	}
	return patch{from: from.Revision, to: to.Revision, data: data}, nil
}
