package checkpoint

import (
	"reflect"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// TestTargetsKeepTheirFields guards against targets that come out of a checkpoint with less than
// their entries said of them: without versions, streams that began there were bound to none.
func TestTargetsKeepTheirFields(t *testing.T) {
	is := is.New(t)
	// A leaving target is not saved, and one that still serves when it is restored is warm. Weights are
	// long, and a restored target shares no cache with listed ones until its entry is back.
	notSaved := map[string]bool{"Leaving": true, "ColdFor": true, "VersionUnknown": true, "Weights": true}
	var target balance.Target
	value := reflect.ValueOf(&target).Elem()
	for i := range value.NumField() {
		field := value.Field(i)
		switch {
		case notSaved[value.Type().Field(i).Name]:
		case field.Kind() == reflect.String:
			field.SetString(value.Type().Field(i).Name)
		case field.CanInt():
			field.SetInt(int64(i + 1))
		default:
			t.Fatalf("no value for field %s", value.Type().Field(i).Name)
		}
	}
	for _, saved := range []balance.Target{target, {ID: "no version stated"}} {
		data, err := Encode(Content{Targets: []balance.Target{saved}})
		is.NoErr(err)
		content, err := Decode(data)
		is.NoErr(err)
		is.Equal(content.Targets, []balance.Target{saved})
	}
}

// TestCheckpointWithoutVersions checks that a target of a writer that doesn't save versions has an
// unknown version, and not the one of entries that state none.
func TestCheckpointWithoutVersions(t *testing.T) {
	is := is.New(t)
	data, err := proto.Marshal(&wire.PlacementCheckpoint{Targets: []*wire.CheckpointTarget{{Id: "t", Service: "s"}}})
	is.NoErr(err)
	content, err := Decode(data)
	is.NoErr(err)
	is.Equal(content.Targets, []balance.Target{{ID: "t", Service: "s", VersionUnknown: true}})
}
