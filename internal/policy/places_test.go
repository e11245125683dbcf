package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func engineNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("engine-%05d", i)
	}
	return names
}

func namesOf(p *SlotTable, slot int) []string {
	var names []string
	for _, number := range p.Order(slot) {
		names = append(names, p.Name(number))
	}
	return names
}

// TestOrderDependsOnlyOnTheSet checks that two processes with the same targets have the same
// order for every slot, regardless of the order in which targets joined and left.
func TestOrderDependsOnlyOnTheSet(t *testing.T) {
	source := rand.New(rand.NewPCG(1, 1))
	names := engineNames(30)
	changed := NewSlotTable(nil)
	for range 150 {
		name := names[source.IntN(len(names))]
		if changed.Has(name) {
			changed.Remove(name)
		} else {
			changed.Add(name)
		}
	}
	fresh := NewSlotTable(changed.Names())
	for slot := 0; slot < Slots; slot += 101 {
		if !slices.Equal(namesOf(changed, slot), namesOf(fresh, slot)) {
			t.Fatalf("slot %d: %v and %v", slot, namesOf(changed, slot), namesOf(fresh, slot))
		}
	}
}

// TestChangeMovesFewChats checks that adding a target moves only the chats that it gets.
func TestChangeMovesFewChats(t *testing.T) {
	is := is.New(t)
	before := NewSlotTable(engineNames(50))
	after := before.Clone()
	after.Add("engine-new")
	moved := 0
	for slot := range Slots {
		was, now := namesOf(before, slot)[0], namesOf(after, slot)[0]
		if was != now {
			moved++
			is.Equal(now, "engine-new") // no chat moves between old targets
		}
	}
	share := float64(moved) / Slots
	is.True(share > 0.015 && share < 0.025) // one in 51
}

func noHints(uint32) Hint { return Hint{} }

// TestSearchEnds checks that a search ends and asks only usable targets, a limited number of
// times.
func TestSearchEnds(t *testing.T) {
	slotTable := NewSlotTable(engineNames(12))
	rapid.Check(t, func(rt *rapid.T) {
		usable := rapid.SliceOfN(rapid.Bool(), 12, 12).Draw(rt, "usable")
		hints := func(number uint32) Hint { return Hint{Down: !usable[number]} }
		search := Search{
			Table:     slotTable,
			Chat:      rapid.Uint64().Draw(rt, "chat"),
			Returning: rapid.Bool().Draw(rt, "returning"),
			HasToken:  rapid.Bool().Draw(rt, "has token"),
			Token:     uint32(rapid.IntRange(0, 11).Draw(rt, "token")),
		}
		random := rand.New(rand.NewPCG(3, 4))
		attempts := 0
		for {
			attempt, ok := search.Next(hints, random)
			if !ok {
				break
			}
			if !usable[attempt.Number] {
				rt.Fatalf("attempt at target %d, which is down", attempt.Number)
			}
			if attempts++; attempts > 2*maxTried+Homes {
				rt.Fatalf("%d attempts", attempts)
			}
			outcome := []Outcome{NotHeld, Full, Gone}[rapid.IntRange(0, 2).Draw(rt, "outcome")]
			if outcome == NotHeld && !attempt.OnlyHeld {
				outcome = Gone
			}
			if !search.Record(outcome) {
				break
			}
		}
	})
}

func TestSearchOrder(t *testing.T) {
	slotTable := NewSlotTable(engineNames(20))
	const chat = 42
	homes := slotTable.Order(SlotOf(chat))[:Homes]
	random := rand.New(rand.NewPCG(1, 2))
	tests := map[string]struct {
		search Search
		hints  Hints
		want   Attempt
	}{
		"target of the token": {
			Search{Table: slotTable, Chat: chat, HasToken: true, Token: 7}, noHints, Attempt{Number: 7},
		},
		"token of a leaving target": {
			Search{Table: slotTable, Chat: chat, HasToken: true, Token: homes[3]},
			func(n uint32) Hint { return Hint{Leaving: n == homes[3]} },
			Attempt{Number: homes[0]},
		},
		"returning chat": {
			Search{Table: slotTable, Chat: chat, Returning: true}, noHints, Attempt{Number: homes[0], OnlyHeld: true},
		},
		"new chat": {
			Search{Table: slotTable, Chat: chat},
			func(n uint32) Hint {
				if n == homes[2] {
					return Hint{InFlight: 1, Limit: 9}
				}
				return Hint{InFlight: 5, Limit: 9}
			},
			Attempt{Number: homes[2]},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, ok := tt.search.Next(tt.hints, random)
			is.New(t).True(ok)
			is.New(t).Equal(got, tt.want)
		})
	}
}

// BenchmarkDecision measures the first attempt of a search.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{50, 833, 7500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			slotTable := sharedTable(engineNames(n))
			table := make([]Hint, n)
			random := rand.New(rand.NewPCG(1, 2))
			for i := range table {
				table[i] = Hint{InFlight: uint32(random.IntN(12)), Limit: 15}
			}
			hints := func(number uint32) Hint { return table[number] }
			b.ReportAllocs()
			for b.Loop() {
				search := Search{Table: slotTable, Chat: random.Uint64(), Returning: true}
				_, _ = search.Next(hints, random)
				search.Record(NotHeld)
				_, _ = search.Next(hints, random)
			}
		})
	}
}

// BenchmarkSlotTableChange measures one target leaving and one joining.
func BenchmarkSlotTableChange(b *testing.B) {
	for _, n := range []int{50, 833, 7500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			slotTable := sharedTable(engineNames(n)).Clone()
			for b.Loop() {
				slotTable.Remove("engine-00007")
				slotTable.Add("engine-00007")
			}
		})
	}
}

// BenchmarkSlotTableBuild measures building the table at a router's start.
func BenchmarkSlotTableBuild(b *testing.B) {
	for _, n := range []int{50, 833, 7500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			names := engineNames(n)
			for b.Loop() {
				NewSlotTable(names)
			}
		})
	}
}
