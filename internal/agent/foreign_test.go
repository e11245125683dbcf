package agent

import (
	"context"
	"errors"
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/admission"
	"github.com/capersaddle/capersaddle/internal/config"
	"github.com/capersaddle/capersaddle/internal/member"
	"github.com/capersaddle/capersaddle/internal/target"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// reportingEngine returns one load report after another and supports nothing else.
type reportingEngine struct {
	target.Engine
	reports []target.LoadReport
}

func (e *reportingEngine) Load(context.Context) (target.LoadReport, error) {
	if len(e.reports) == 0 {
		return target.LoadReport{}, errors.New("no report")
	}
	report := e.reports[0]
	e.reports = e.reports[1:]
	return report, nil
}

// TestForeignLoadOnlyFalls checks that a restarted agent counts what its engine still
// runs, and that a higher later report, or a missing one, does not raise the count.
func TestForeignLoadOnlyFalls(t *testing.T) {
	is := is.New(t)
	engine := &reportingEngine{reports: []target.LoadReport{{Running: 3}, {Running: 5}, {Running: 1}, {}, {Running: 9}}}
	a := New(Options{
		ID: "a", Targets: []Target{{ID: "e", Pool: "m", Engine: engine}}, Admission: admission.DefaultOptions(),
		Members: member.NewList(member.DefaultOptions(), &wire.Member{Id: "a"}), Config: config.NewState(), Log: log.New(io.Discard),
	})
	var seen []int
	for range 6 {
		a.updateForeign(t.Context())
		seen = append(seen, a.targets["e"].gate.Load().InFlight)
	}
	is.Equal(seen, []int{3, 3, 1, 0, 0, 0})
}
