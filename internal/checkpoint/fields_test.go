package checkpoint

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// TestTargetsKeepTheirFields guards against targets that come out of a checkpoint with less than
// their entries said of them: without versions, streams that began there were bound to none.
func TestTargetsKeepTheirFields(t *testing.T) {
	is := is.New(t)
	// A leaving target is not saved, nor are targets known only from a record.
	notSaved := map[string]bool{"Leaving": true, "VersionUnknown": true, "WeightsUnknown": true}
	var target balance.Target
	value := reflect.ValueOf(&target).Elem()
	for i := range value.NumField() {
		field := value.Field(i)
		switch {
		case notSaved[value.Type().Field(i).Name]:
		case field.Kind() == reflect.String:
			field.SetString(value.Type().Field(i).Name)
		case field.Type() == reflect.TypeFor[time.Duration]():
			field.SetInt(int64(time.Duration(i+1) * time.Millisecond))
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
	is.Equal(content.Targets, []balance.Target{{ID: "t", Service: "s", VersionUnknown: true, WeightsUnknown: true}})
}

// TestRestoredTargetsStayCold guards against a cold target that gets as many requests as a warm one from
// gateways that know it only from the checkpoint.
func TestRestoredTargetsStayCold(t *testing.T) {
	cases := map[string]struct {
		// coldFor is how long the target is still cold when its entry is read, savedAfter how much later
		// the checkpoint is written, and restoredAfter how much later than that it is read.
		coldFor, savedAfter, restoredAfter time.Duration
		cold                               bool
	}{
		"cold":                        {10 * time.Second, 2 * time.Second, time.Second, true},
		"warm":                        {0, 2 * time.Second, time.Second, false},
		"warm before it is saved":     {time.Second, 2 * time.Second, time.Second, false},
		"warm a while after it began": {10 * time.Second, 2 * time.Second, 9 * time.Second, false},
	}
	const targets = 3
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			begin := time.Now()
			before := balance.New(balance.DefaultOptions())
			for i := range targets {
				id := fmt.Sprint("t-", i)
				before.Put(balance.Target{ID: id, Service: "s", Address: id, Slots: 64, ColdFor: tc.coldFor}, begin)
			}
			data, err := Encode(Content{Targets: before.Working(begin.Add(tc.savedAfter))})
			is.NoErr(err)
			content, err := Decode(data)
			is.NoErr(err)
			options := balance.DefaultOptions()
			options.ExpiryGrace = time.Minute // the targets serve without entries
			after := balance.New(options)
			after.SetGateways(balance.Gateways{Count: 1})
			after.SetCold("s", balance.ColdBound{Rate: 1, Start: 10 * time.Second})
			restored := begin.Add(tc.savedAfter)
			after.Restore(content.Targets, restored)
			chosen := 0
			for i := range 20 {
				now := restored.Add(tc.restoredAfter + time.Duration(i)*10*time.Millisecond)
				if pick, ok := after.Choose(balance.Query{Service: "s"}, now); ok {
					chosen++
					after.Release(pick.Target.ID, balance.Good, now)
				}
			}
			is.Equal(chosen <= targets, tc.cold)
		})
	}
}

// TestRestoredTargetsKeepTheirWeights guards against targets that are told to fetch a cached part of a
// prompt from one with other weights, because both were known only from the checkpoint.
func TestRestoredTargetsKeepTheirWeights(t *testing.T) {
	part := uint64(1) << 32
	cases := map[string]struct {
		weights [3]string
		// older leaves the weights out, as older writers do.
		older   bool
		fetches bool
	}{
		"the same weights":  {[3]string{"w1", "w1", "w1"}, false, true},
		"other weights":     {[3]string{"w1", "w2", "w2"}, false, false},
		"weights not known": {[3]string{"w1", "w2", "w2"}, true, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			var targets []balance.Target
			for i, weights := range tc.weights {
				id := fmt.Sprint("t-", i)
				targets = append(targets, balance.Target{ID: id, Service: "s", Address: id, Slots: 8, Weights: weights, WeightsUnknown: tc.older})
			}
			data, err := Encode(Content{Targets: targets})
			is.NoErr(err)
			content, err := Decode(data)
			is.NoErr(err)
			restored := balance.New(balance.DefaultOptions())
			restored.Restore(content.Targets, now)
			query := balance.Query{Service: "s", Parts: []uint64{part}, Tokens: []int{1000}}
			restored.Confirm("t-0", query)
			query.Exclude = []string{"t-0"}
			pick, ok := restored.Choose(query, now)
			is.True(ok)
			is.Equal(pick.FetchFrom == "t-0", tc.fetches)
		})
	}
}
