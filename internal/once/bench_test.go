package once

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/capersaddle/capersaddle/internal/wire"
)

type fixedClock struct{}

func (fixedClock) Wall() time.Time     { return modelStart.Add(time.Minute) }
func (fixedClock) Boot() time.Duration { return time.Minute }

// soleOwnerGuard returns a guard that owns all slots by its long lease alone, without a witness.
func soleOwnerGuard() *Guard {
	options := DefaultOptions()
	options.Agent, options.Incarnation = "a", "1"
	options.MaxRecords = 1 << 20
	g := NewGuard(options, fixedClock{})
	g.SetLongLease(time.Minute)
	table := NewTable(64)
	table.Version = 1
	for i := range table.Slots {
		table.Slots[i] = Slot{Owner: g.self, Epoch: 1, StartMS: modelStart.UnixMilli()}
	}
	g.Apply(table)
	for _, slot := range g.owned {
		slot.start = modelStart
	}
	return g
}

// BenchmarkRecordMemory measures the memory of a recorded key with a small outcome.
func BenchmarkRecordMemory(b *testing.B) {
	for _, n := range []int{10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				g := soleOwnerGuard()
				runtime.GC()
				runtime.ReadMemStats(&before)
				for range n {
					runKey(b, g)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(g)
			}
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(n), "bytes/record")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func runKey(b *testing.B, g *Guard) {
	key := FullKey("clinic", uuid.NewString())
	begun, refusal := g.Begin(key, modelStart.Add(time.Minute), 1)
	if refusal != nil {
		b.Fatal(refusal)
	}
	outcome := Outcome{
		Head: &wire.Head{Status: 200, Headers: []*wire.Header{{Name: "Content-Type", Value: "application/json"}}},
		Body: make([]byte, 120),
	}
	g.End(begun.Record, Done, outcome)
}

// BenchmarkBeginEnd measures the guard's work for one keyed request.
func BenchmarkBeginEnd(b *testing.B) {
	g := soleOwnerGuard()
	for b.Loop() {
		runKey(b, g)
	}
}

// BenchmarkPlan measures planning when nothing is to be changed.
func BenchmarkPlan(b *testing.B) {
	for _, slots := range []int{64, 1024, 4096} {
		b.Run(fmt.Sprint(slots), func(b *testing.B) {
			g := soleOwnerGuard()
			table := NewTable(slots)
			table.Version = 2
			holder := Holder{Agent: "a", Incarnation: "1"}
			other := Holder{Agent: "b", Incarnation: "1"}
			peers := []Peer{{Holder: holder, DataCenter: "x"}, {Holder: other, DataCenter: "y"}}
			for i := range table.Slots {
				table.Slots[i] = Slot{Owner: other, Witness: holder, Epoch: 1}
			}
			g.Apply(table)
			data, _ := table.Encode()
			for b.Loop() {
				g.Plan(PlanInput{Peers: peers})
			}
			b.ReportMetric(float64(len(data)), "table-bytes")
		})
	}
}
