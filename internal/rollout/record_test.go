package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func validRecord() Record {
	return Record{
		Order: Order{Service: "s", Version: "v2", Duration: time.Minute, Revision: 7},
		State: Completed, Elapsed: time.Second, Current: "v2", Refused: []string{"v0", "v1"}, Served: []string{"v3"},
	}
}

func TestRecordRoundTrip(t *testing.T) {
	is := is.New(t)
	data, err := Encode(validRecord())
	is.NoErr(err)
	read, err := Decode(data)
	is.NoErr(err)
	is.Equal(read, validRecord())
	later := append([]byte(`{"of a later release":{"x":[1]},`), data[1:]...)
	read, err = Decode(later)
	is.NoErr(err)
	is.Equal(read, validRecord())
}

func TestInvalidRecords(t *testing.T) {
	cases := map[string]func(r *Record){
		"no service":               func(r *Record) { r.Order.Service = "" },
		"no version":               func(r *Record) { r.Order.Version, r.Current = "", "" },
		"no duration":              func(r *Record) { r.Order.Duration = 0 },
		"no revision":              func(r *Record) { r.Order.Revision = 0 },
		"elapsed below zero":       func(r *Record) { r.Elapsed = -1 },
		"unknown state":            func(r *Record) { r.State = "done" },
		"completed, not current":   func(r *Record) { r.Current = "v9" },
		"rolled back, not refused": func(r *Record) { r.State, r.Current = RolledBack, "" },
		"current refused":          func(r *Record) { r.Refused = []string{"v1", "v2"} },
		"out of order":             func(r *Record) { r.Refused = []string{"v1", "v0"} },
		"duplicate":                func(r *Record) { r.Refused = []string{"v1", "v1"} },
		"served and refused":       func(r *Record) { r.Served = []string{"v1"} },
		"served, out of order":     func(r *Record) { r.Served = []string{"v5", "v4"} },
		"served, not UTF-8":        func(r *Record) { r.Served = []string{"v\xff"} },
		"empty":                    func(r *Record) { r.Refused = []string{"", "v1"} },
		"not UTF-8":                func(r *Record) { r.Refused = []string{"v\xff"} },
	}
	for name, corrupt := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			record := validRecord()
			corrupt(&record)
			_, err := Encode(record)
			is.True(err != nil)
		})
	}
}

// FuzzDecode checks that each decoded record is valid, and doesn't change when it is encoded and
// decoded again.
func FuzzDecode(f *testing.F) {
	data, err := Encode(validRecord())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"service":"s","version":"v","duration_ns":1,"revision":1,"state":"rolled_back","refused":["v"]}`))
	f.Add([]byte(`{"refused":[null]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		is := is.New(t)
		record, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Encode(record)
		is.NoErr(err)
		read, err := Decode(again)
		is.NoErr(err)
		is.Equal(len(read.Refused), len(record.Refused))
		read.Refused, record.Refused = nil, nil
		is.Equal(read, record)
	})
}
