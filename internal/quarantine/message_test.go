package quarantine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/quarantine"
)

// TestEncodeDecodeRoundTrip checks that records survive encoding and decoding.
func TestEncodeDecodeRoundTrip(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := quarantine.New()
	crash(table, testFingerprint, 1, 3, now)
	crash(table, testFingerprint+1, 1, 1, now)
	table.Answered(testFingerprint+1, now)
	data, err := quarantine.Encode(table.Records(now))
	is.NoErr(err)
	records, err := quarantine.Decode(data)
	is.NoErr(err)
	is.Equal(records, table.Records(now))
}

// FuzzDecode checks that arbitrary bytes give an error or records in their normal form.
func FuzzDecode(f *testing.F) {
	data, err := quarantine.Encode([]quarantine.Record{{Fingerprint: 7, Epoch: 1, Incarnations: []quarantine.Incarnation{3, 4}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, data []byte) {
		records, err := quarantine.Decode(data)
		if err != nil {
			return
		}
		for _, record := range records {
			if !record.Equal(record.Normal()) {
				t.Fatalf("%v is not in normal form", record)
			}
		}
	})
}
