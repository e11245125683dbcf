package balance_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/policy"
)

// short returns the short hash by which gateways identify a target.
func short(id string) uint32 {
	return uint32(policy.HashName(id) >> 32)
}

// openAt counts the targets open to a choice.
func openAt(b *balance.Balancer, now time.Time) int {
	pick, _ := b.Choose(balance.Query{Service: "s"}, now)
	b.Release(pick.Target.ID, balance.Neutral, now)
	return pick.Candidates
}

// TestRefusedAtAnotherGateway checks that a target that refused a connection from another
// gateway is ejected, longer each time, until it answers.
func TestRefusedAtAnotherGateway(t *testing.T) {
	is := is.New(t)
	b := newBalancer(4)
	now := start
	for _, ejection := range []time.Duration{800 * time.Millisecond, 1600 * time.Millisecond, 3200 * time.Millisecond, 3200 * time.Millisecond} {
		id, isNew := b.NoteRefused(short("t2"), now)
		is.True(isNew)
		is.Equal(id, "t2")
		_, isNew = b.NoteRefused(short("t2"), now)
		is.True(!isNew) // it is already ejected, so no other gateway needs the report
		is.Equal(openAt(b, now.Add(ejection-time.Millisecond)), 3)
		is.Equal(openAt(b, now.Add(ejection)), 4)
		now = now.Add(ejection)
	}
	b.Choose(balance.Query{Service: "s", Exclude: []string{"t0", "t1", "t3"}}, now)
	b.Release("t2", balance.Good, now)
	_, isNew := b.NoteRefused(short("t2"), now)
	is.True(isNew)
	is.Equal(openAt(b, now.Add(800*time.Millisecond)), 4) // the ejection has its first duration again
	_, isNew = b.NoteRefused(12345, now)
	is.True(!isNew) // unknown
}

// TestNoFetchFromRefusedTarget guards against fetching from a crashed target: on scale-2 of
// the large site 1.7 of 3.5 million tokens were prefilled again because the target named as their
// source had crashed.
func TestNoFetchFromRefusedTarget(t *testing.T) {
	is := is.New(t)
	b := newBalancer(9)
	query := longSession(1)
	b.Confirm("t1", query)
	b.Confirm("t2", query)
	b.NoteRefused(short("t1"), start)
	query.Exclude = []string{"t2"}
	pick, _ := b.Choose(query, start)
	is.True(pick.Target.ID != "t1")
	is.Equal(pick.FetchFrom, target(2).Address)
	holders, _ := b.Cached(uint32(query.Parts[0]>>32), start)
	for _, holder := range holders {
		is.True(holder.Target != short("t1")) // other gateways are not sent there either
	}
}
