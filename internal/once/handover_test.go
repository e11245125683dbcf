package once

import (
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/wire"
)

// TestHandedOverRecordsKeepTheirFields guards against records that reach the next owner of a slot with
// less than the last one knew: an answer that had been too large to keep was sent to a repeated request
// as a whole answer with an empty body.
func TestHandedOverRecordsKeepTheirFields(t *testing.T) {
	at := time.UnixMilli(1_700_000_000_000)
	head := &wire.Head{Status: 200}
	cases := map[string]Record{
		"whole answer":             {Key: "k", At: at, Fingerprint: 7, State: Done, Outcome: Outcome{Head: head, Body: []byte("body")}},
		"empty answer":             {Key: "k", At: at, Fingerprint: 7, State: Done, Outcome: Outcome{Head: head}},
		"answer too large to keep": {Key: "k", At: at, Fingerprint: 7, State: Done, Outcome: Outcome{Head: head, Trimmed: true}},
		"closed":                   {Key: "k", At: at, Fingerprint: 7, State: Closed},
		"in doubt":                 {Key: "k", At: at, Fingerprint: 7, State: InDoubt},
	}
	for name, record := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(*importRecord(exportRecord(&record)), record)
		})
	}
	// A field that is added has to be handed over, or named here.
	notHandedOver := map[string]bool{"Cause": true, "ended": true, "element": true}
	handedOver := map[string]bool{"Key": true, "At": true, "Fingerprint": true, "State": true, "Outcome": true}
	for field := range reflect.TypeFor[Record]().Fields() {
		is.New(t).True(handedOver[field.Name] != notHandedOver[field.Name])
	}
	is.New(t).Equal(reflect.TypeFor[Outcome]().NumField(), 3)
}
