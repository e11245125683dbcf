package policy

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestAssign checks that every model gets its engines while there are enough, no engine gets
// two models, and the order in which engines are listed does not matter.
func TestAssign(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var wanted []Wanted
		sum := 0
		for i := range rapid.IntRange(0, 4).Draw(rt, "models") {
			replicas := rapid.IntRange(0, 4).Draw(rt, "replicas")
			sum += replicas
			wanted = append(wanted, Wanted{Model: fmt.Sprintf("m%d", i), Replicas: replicas})
		}
		var engines []Holder
		for i := range rapid.IntRange(0, 12).Draw(rt, "engines") {
			holds := rapid.SampledFrom([]string{"", "m0", "m1", "m2", "gone"}).Draw(rt, "holds")
			engines = append(engines, Holder{Engine: fmt.Sprintf("e%d", i), Holds: holds})
		}
		got := Assign(wanted, engines)
		count := make(map[string]int)
		for _, model := range got {
			count[model]++
		}
		for _, want := range wanted {
			if sum <= len(engines) && count[want.Model] < want.Replicas {
				rt.Fatalf("%s has %d of %d engines", want.Model, count[want.Model], want.Replicas)
			}
		}
		shuffled := slices.Clone(engines)
		rand.New(rand.NewPCG(1, 1)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		if !maps.Equal(got, Assign(wanted, shuffled)) {
			rt.Fatal("the result depends on the order of engines")
		}
		// The assignment is stable: computing it again changes nothing.
		for i := range engines {
			engines[i].Holds = got[engines[i].Engine]
		}
		if !maps.Equal(got, Assign(wanted, engines)) {
			rt.Fatal("assigning again changes the placement")
		}
	})
}

// TestReturningEngineCausesOneLoad checks that an engine that leaves and returns causes one
// model load, not two.
func TestReturningEngineCausesOneLoad(t *testing.T) {
	is := is.New(t)
	wanted := []Wanted{{"a", 3}, {"b", 2}}
	holds := make(map[string]string)
	names := []string{"e0", "e1", "e2", "e3", "e4", "e5", "e6"}
	loads := 0
	assignAll := func(up []string) {
		var engines []Holder
		for _, name := range up {
			engines = append(engines, Holder{Engine: name, Holds: holds[name]})
		}
		for name, model := range Assign(wanted, engines) {
			if holds[name] != model && model != "" {
				loads++
			}
			holds[name] = model
		}
	}
	assignAll(names)
	is.Equal(loads, 5)
	returning := ""
	for _, name := range names {
		if holds[name] == "a" {
			returning = name
		}
	}
	up := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == returning })
	for range 10 {
		assignAll(up)
		assignAll(names)
	}
	is.Equal(loads, 6)
}
