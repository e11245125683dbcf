package balance_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/balance"
)

// TestFewTargetsStayWithinBound guards against streams that load the last targets of their version
// beyond the bound, which refers to the mean of all targets.
func TestFewTargetsStayWithinBound(t *testing.T) {
	const others, last, requests = 10, 2, 60
	is := is.New(t)
	b := balance.New(balance.DefaultOptions())
	for i := range others + last {
		version := "new"
		if i < last {
			version = "old"
		}
		b.Put(balance.Target{ID: fmt.Sprint(i), Service: "s", Address: fmt.Sprint(i), Version: version, Slots: 64}, start)
	}
	held, total := make(map[string]int), 0
	for range requests / 2 {
		pick, ok := b.Choose(balance.Query{Service: "s", Versions: balance.Versions{Only: "new"}}, start)
		is.True(ok)
		held[pick.Target.ID]++
		total++
	}
	admitted := 0
	for range requests {
		pick, ok := b.Choose(balance.Query{Service: "s", Versions: balance.Versions{Only: "old"}, Continues: true}, start)
		if !ok {
			continue
		}
		is.True(float64(held[pick.Target.ID]+1) <= 2*float64(total)/(others+last)+3) // the bound of DefaultOptions
		held[pick.Target.ID]++
		total++
		admitted++
	}
	is.True(admitted > 0)
	is.True(admitted < requests)
}
