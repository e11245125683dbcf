package quarantine

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/capersaddle/capersaddle/internal/wire"
)

// Message returns the record as gateways send it to each other and as checkpoints store it.
func (r Record) Message() *wire.CrashRecord {
	message := &wire.CrashRecord{
		Print: uint64(r.Fingerprint), Epoch: r.Epoch,
		Trial: r.Trials, UnrunTrials: r.UnrunTrials, TrialLife: uint32(r.TrialIncarnation),
		Moments: r.Moments,
	}
	for _, incarnation := range r.Incarnations {
		message.Lives = append(message.Lives, uint32(incarnation))
	}
	message.Confirmed = r.Confirmed
	for _, workspace := range r.Workspaces {
		message.Workspaces = append(message.Workspaces, uint32(workspace))
	}
	for _, suspect := range r.Suspects {
		message.Suspects = append(message.Suspects, uint32(suspect.Incarnation))
		message.SuspectEvidence = append(message.SuspectEvidence, uint32(suspect.Evidence))
	}
	return message
}

// RecordOf converts a message to a record, and normalizes whatever the message contains.
func RecordOf(message *wire.CrashRecord) Record {
	record := Record{
		Fingerprint: Fingerprint(message.GetPrint()), Epoch: message.GetEpoch(),
		Trials: message.GetTrial(), UnrunTrials: message.GetUnrunTrials(), TrialIncarnation: Incarnation(message.GetTrialLife()),
		Moments: message.GetMoments(),
	}
	for _, incarnation := range message.GetLives() {
		record.Incarnations = append(record.Incarnations, Incarnation(incarnation))
	}
	record.Confirmed = message.GetConfirmed()
	for _, workspace := range message.GetWorkspaces() {
		record.Workspaces = append(record.Workspaces, Workspace(workspace))
	}
	evidence := message.GetSuspectEvidence()
	for i, incarnation := range message.GetSuspects() {
		if i < len(evidence) {
			record.Suspects = append(record.Suspects, Suspect{Incarnation(incarnation), Evidence(evidence[i])})
		}
	}
	return record.Normal()
}

// Encode serializes records.
func Encode(records []Record) ([]byte, error) {
	message := new(wire.CrashRecords)
	for _, record := range records {
		message.Records = append(message.Records, record.Message())
	}
	data, err := proto.Marshal(message)
	return data, errors.Wrap(err, "encode crash records")
}

// Decode parses the output of Encode.
func Decode(data []byte) ([]Record, error) {
	message := new(wire.CrashRecords)
	if err := proto.Unmarshal(data, message); err != nil {
		return nil, errors.Wrap(err, "decode crash records")
	}
	records := make([]Record, 0, len(message.GetRecords()))
	for _, encoded := range message.GetRecords() {
		records = append(records, RecordOf(encoded))
	}
	return records, nil
}
