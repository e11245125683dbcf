package originstore

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/capersaddle/capersaddle/internal/origin"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// Encode encodes which versions began streams, without the times of the records.
func Encode(records []origin.Record) ([]byte, error) {
	message, indexes := new(wire.StreamRecords), make(map[origin.Version]uint32)
	for _, record := range records {
		index, ok := indexes[record.Version]
		if !ok {
			index = uint32(len(message.GetVersions()))
			indexes[record.Version] = index
			message.Versions = append(message.Versions, uint32(record.Version))
		}
		message.Streams = append(message.Streams, uint64(record.Stream))
		message.VersionIndexes = append(message.VersionIndexes, index)
	}
	data, err := proto.Marshal(message)
	return data, errors.Wrap(err, "encode records of streams")
}

// Decode decodes the output of Encode.
func Decode(data []byte) ([]origin.Record, error) {
	message := new(wire.StreamRecords)
	if err := proto.Unmarshal(data, message); err != nil {
		return nil, errors.Wrap(err, "decode records of streams")
	}
	streams, indexes, versions := message.GetStreams(), message.GetVersionIndexes(), message.GetVersions()
	if len(streams) != len(indexes) {
		return nil, errors.Newf("decode records of streams: %d streams and %d versions", len(streams), len(indexes))
	}
	records := make([]origin.Record, 0, len(streams))
	for i, stream := range streams {
		if int64(indexes[i]) >= int64(len(versions)) {
			return nil, errors.Newf("decode records of streams: version %d of %d", indexes[i], len(versions))
		}
		records = append(records, origin.Record{Stream: origin.Stream(stream), Version: origin.Version(versions[indexes[i]])})
	}
	return records, nil
}
