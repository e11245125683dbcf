package policy

import (
	"cmp"
	"slices"
)

// Wanted is a model and the number of engines that should hold it.
type Wanted struct {
	Model    string
	Replicas int
}

// Holder is an engine whose model may be changed, and the model that it holds now; empty for
// none.
type Holder struct {
	Engine string
	Holds  string
}

// Assign returns which model each engine should hold. Every agent computes it independently;
// agents that see the same engines get the same result, regardless of the order. An engine
// keeps its model unless another model lacks engines, so that engines that leave and join
// cause few model loads.
func Assign(wanted []Wanted, engines []Holder) map[string]string {
	a := newAssignment(wanted, engines)
	for _, want := range a.wanted {
		a.keep(want)
	}
	for _, want := range a.wanted {
		a.fill(want)
	}
	for _, engine := range a.engines {
		if _, done := a.result[engine.Engine]; !done {
			a.result[engine.Engine] = a.fallback(engine)
		}
	}
	return a.result
}

type assignment struct {
	wanted  []Wanted
	engines []Holder
	result  map[string]string
	count   map[string]int
}

func newAssignment(wanted []Wanted, engines []Holder) *assignment {
	a := &assignment{
		wanted:  slices.Clone(wanted),
		engines: slices.Clone(engines),
		result:  make(map[string]string, len(engines)),
		count:   make(map[string]int, len(wanted)),
	}
	slices.SortFunc(a.wanted, func(x, y Wanted) int { return cmp.Compare(x.Model, y.Model) })
	return a
}

// byRank returns the engines in rendezvous order for a model.
func (a *assignment) byRank(model string) []Holder {
	hash := HashName("placement/" + model)
	ranked := slices.Clone(a.engines)
	slices.SortFunc(ranked, func(x, y Holder) int {
		return cmp.Or(
			cmp.Compare(Score(hash, HashName(y.Engine)), Score(hash, HashName(x.Engine))),
			cmp.Compare(x.Engine, y.Engine),
		)
	})
	return ranked
}

// keep leaves a model on the engines that hold it, up to the wanted number.
func (a *assignment) keep(want Wanted) {
	for _, engine := range a.byRank(want.Model) {
		if engine.Holds == want.Model && a.count[want.Model] < want.Replicas {
			a.assign(engine, want.Model)
		}
	}
}

// fill assigns free engines to a model that lacks engines, empty ones first.
func (a *assignment) fill(want Wanted) {
	ranked := a.byRank(want.Model)
	slices.SortStableFunc(ranked, func(x, y Holder) int {
		return cmp.Compare(min(len(x.Holds), 1), min(len(y.Holds), 1))
	})
	for _, engine := range ranked {
		if a.count[want.Model] >= want.Replicas {
			return
		}
		if _, taken := a.result[engine.Engine]; !taken {
			a.assign(engine, want.Model)
		}
	}
}

func (a *assignment) assign(engine Holder, model string) {
	a.result[engine.Engine] = model
	a.count[model]++
}

// fallback returns the model of an engine that no model needs: its own if that is still wanted
// at all, otherwise none.
func (a *assignment) fallback(engine Holder) string {
	if slices.ContainsFunc(a.wanted, func(w Wanted) bool { return w.Model == engine.Holds && w.Replicas > 0 }) {
		return engine.Holds
	}
	return ""
}
