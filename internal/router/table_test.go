package router

import (
	"fmt"
	"testing"

	"github.com/capersaddle/capersaddle/internal/member"
	"github.com/capersaddle/capersaddle/internal/wire"
)

func fleet(hosts int) *member.List {
	l := member.NewList(member.DefaultOptions(), &wire.Member{Id: "router-0", Role: member.RoleRouter})
	for i := range hosts {
		m := &wire.Member{Id: fmt.Sprintf("host-%04d", i), Role: member.RoleAgent, LinkAddress: fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250), Incarnation: 1, Standing: wire.Standing_STANDING_ALIVE}
		for t := range 4 {
			m.Targets = append(m.Targets, &wire.TargetState{Id: fmt.Sprintf("engine-%05d", i*4+t), Pool: fmt.Sprintf("model-%d", i%9)})
		}
		l.Merge([]*wire.Member{m})
	}
	return l
}

// BenchmarkRefresh measures how a router reads the members' loads, twice a second, while
// no target is added or removed.
func BenchmarkRefresh(b *testing.B) {
	for _, hosts := range []int{13, 950, 1900} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			t := newTable(fleet(hosts))
			b.ReportAllocs()
			for b.Loop() {
				t.refresh()
			}
		})
	}
}
