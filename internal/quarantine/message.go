package quarantine

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/capersaddle/capersaddle/internal/wire"
)

// Message is the record as gateways send it to each other, and as the checkpoint has it.
func (r Record) Message() *wire.CrashRecord {
	message := &wire.CrashRecord{
		Print: uint64(r.Fingerprint), Epoch: r.Epoch,
		Trial: r.Trials, UnrunTrials: r.UnrunTrials, TrialLife: uint32(r.TrialInstance),
	}
	for _, life := range r.Instances {
		message.Lives = append(message.Lives, uint32(life))
	}
	return message
}

// RecordOf reads what Message wrote, whatever stands in it.
func RecordOf(message *wire.CrashRecord) Record {
	record := Record{
		Fingerprint: Fingerprint(message.GetPrint()), Epoch: message.GetEpoch(),
		Trials: message.GetTrial(), UnrunTrials: message.GetUnrunTrials(), TrialInstance: Instance(message.GetTrialLife()),
	}
	for _, life := range message.GetLives() {
		record.Instances = append(record.Instances, Instance(life))
	}
	return record.Normal()
}

// Encode writes records as bytes.
func Encode(records []Record) ([]byte, error) {
	message := new(wire.CrashRecords)
	for _, record := range records {
		message.Records = append(message.Records, record.Message())
	}
	data, err := proto.Marshal(message)
	return data, errors.Wrap(err, "encode crash records")
}

// Decode reads what Encode wrote.
func Decode(data []byte) ([]Record, error) {
	message := new(wire.CrashRecords)
	if err := proto.Unmarshal(data, message); err != nil {
		return nil, errors.Wrap(err, "decode crash records")
	}
	records := make([]Record, 0, len(message.GetRecords()))
	for _, one := range message.GetRecords() {
		records = append(records, RecordOf(one))
	}
	return records, nil
}
