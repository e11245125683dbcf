package quarantine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/quarantine"
)

// TestRecordsAsBytes: what one gateway writes, another reads.
func TestRecordsAsBytes(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := quarantine.New()
	crash(table, print, 1, 3, now)
	crash(table, print+1, 1, 1, now)
	table.Answered(print+1, now)
	data, err := quarantine.Encode(table.Records(now))
	is.NoErr(err)
	records, err := quarantine.Decode(data)
	is.NoErr(err)
	is.Equal(records, table.Records(now))
}

// FuzzDecode: bytes of another writer are an error or records in their normal form.
func FuzzDecode(f *testing.F) {
	data, err := quarantine.Encode([]quarantine.Record{{Fingerprint: 7, Epoch: 1, Instances: []quarantine.Instance{3, 4}}})
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
				t.Fatalf("%v is not in its normal form", record)
			}
		}
	})
}
