package quarantine

import "github.com/capersaddle/capersaddle/internal/wire"

// Message is the record as gateways send it to each other, and as the checkpoint has it.
func (r Record) Message() *wire.CrashRecord {
	message := &wire.CrashRecord{Print: uint64(r.Print), Epoch: r.Epoch}
	for _, life := range r.Lives {
		message.Lives = append(message.Lives, uint32(life))
	}
	return message
}

// RecordOf reads what Message wrote, whatever stands in it.
func RecordOf(message *wire.CrashRecord) Record {
	record := Record{Print: Fingerprint(message.GetPrint()), Epoch: message.GetEpoch()}
	for _, life := range message.GetLives() {
		record.Lives = append(record.Lives, Life(life))
	}
	return record.Normal()
}
