package emulator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/wait"
)

// The states of a rollout, as the system reports them.
const (
	StateRunning    = "running"
	StateCompleted  = "completed"
	StateRolledBack = "rolled_back"
)

// rolloutOrder is the operator's order for a rollout, as stored.
type rolloutOrder struct {
	Service  string  `json:"service"`
	Version  any     `json:"target_version"`
	Duration float64 `json:"duration_s"`
}

// Status is the system's report on a rollout.
type Status struct {
	State   string          `json:"state"`
	Version json.RawMessage `json:"target_version"`
	// Revision is the store revision of the report.
	Revision int64 `json:"-"`
}

// Order writes the operator's order to move a service to a version, which is a string or a
// number, and returns the order's revision.
func (p *Platform) Order(service string, version any, duration time.Duration) (int64, error) {
	data, err := json.Marshal(rolloutOrder{Service: service, Version: version, Duration: duration.Seconds()})
	if err != nil {
		return 0, errors.Wrap(err, "encode rollout order")
	}
	return p.Store.Put("op/rollout/"+service, data), nil
}

// Withdraw removes the operator's order for a service.
func (p *Platform) Withdraw(service string) {
	p.Store.Remove("op/rollout/" + service)
}

// Status reads the system's report on a service's rollout. It returns false if there is none.
func (p *Platform) Status(service string) (Status, bool, error) {
	item, ok := p.Store.Get("status/rollout/" + service)
	if !ok {
		return Status{}, false, nil
	}
	status := Status{Revision: item.Revision}
	err := json.Unmarshal(item.Value, &status)
	return status, err == nil, errors.Wrapf(err, "decode rollout status of %q", service)
}

// Rollout describes a rollout that the operator orders and finishes according to the status
// that the system reports.
type Rollout struct {
	Service string
	// Version is the version string in the entries of the new servers.
	Version  string
	Duration time.Duration
	// DrainAfter is the time from the end of a rollout that was rolled back until its servers
	// start to drain. They keep serving for DrainFor after that.
	DrainAfter, DrainFor time.Duration
	// Ended is called at the end of the rollout, before servers stop; may be nil.
	Ended func(state string)
}

// Play orders a rollout and waits until the system reports its end. After completion it stops
// the servers of other versions immediately; after a rollback it drains the servers of the new
// version.
func (p *Platform) Play(ctx context.Context, rollout Rollout) (state string, err error) {
	revision, err := p.Order(rollout.Service, rollout.Version, rollout.Duration)
	if err != nil {
		return "", err
	}
	state, err = p.awaitEnd(ctx, rollout.Service, revision)
	if err != nil {
		return "", err
	}
	if rollout.Ended != nil {
		rollout.Ended(state)
	}
	if state == StateCompleted {
		return state, p.stop(rollout.Service, func(version string) bool { return version != rollout.Version })
	}
	return state, p.drain(ctx, rollout)
}

// awaitEnd waits until the status reports the end of the order with the given revision.
func (p *Platform) awaitEnd(ctx context.Context, service string, orderRevision int64) (string, error) {
	for {
		changed := p.Store.nextChange()
		status, _, err := p.Status(service)
		if err != nil {
			return "", err
		}
		if status.Revision > orderRevision && (status.State == StateCompleted || status.State == StateRolledBack) {
			return status.State, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return "", ctx.Err()
		}
	}
}

// nextChange returns a channel that is closed at the next change of the store.
func (s *Store) nextChange() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// drain drains the servers of a version that was rolled back, then stops them.
func (p *Platform) drain(ctx context.Context, rollout Rollout) error {
	isRolledBack := func(version string) bool { return version == rollout.Version }
	if !wait.For(ctx, rollout.DrainAfter) {
		return ctx.Err()
	}
	for _, server := range p.serversOf(rollout.Service, isRolledBack) {
		if err := p.Enter(server.service, server.zone, "draining", server.Server); err != nil {
			return err
		}
	}
	if !wait.For(ctx, rollout.DrainFor) {
		return ctx.Err()
	}
	return p.stop(rollout.Service, isRolledBack)
}

// stop stops the matching servers of a service immediately and removes their entries.
func (p *Platform) stop(service string, matches func(version string) bool) error {
	var failed error
	for _, server := range p.serversOf(service, matches) {
		p.Leave(server.Server)
		failed = errors.CombineErrors(failed, server.Close())
	}
	return failed
}

func (p *Platform) serversOf(service string, matches func(version string) bool) []registeredServer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var servers []registeredServer
	for _, server := range p.servers {
		if server.service == service && matches(server.options.Version) {
			servers = append(servers, server)
		}
	}
	return servers
}
