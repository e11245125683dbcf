package agent

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/external"
	"github.com/capersaddle/capersaddle/internal/once"
)

// leaseEvery is the time between two renewals of an agent's long lease.
const leaseEvery = 10 * time.Minute

// LeaseKey is where an agent's long lease is in the store.
func LeaseKey(agent string) string {
	return "once/lease/" + agent
}

// longLease is an agent's one long lease, which all its guards share.
type longLease struct {
	store  external.Store
	agent  string
	guards []*once.Guard

	mu      sync.Mutex
	renewed time.Time
}

// renew writes the lease when it is due.
func (l *longLease) renew(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.renewed.IsZero() && time.Since(l.renewed) < leaseEvery {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	base, err := l.version(ctx)
	if err != nil {
		return err
	}
	sentAt := l.guards[0].BootNow()
	data, err := json.Marshal(l.guards[0].NewLongLease())
	if err != nil {
		return errors.Wrap(err, "write lease")
	}
	if _, err := l.store.Put(ctx, LeaseKey(l.agent), data, base); err != nil {
		return errors.Wrap(err, "renew long lease")
	}
	for _, guard := range l.guards {
		guard.SetLongLease(sentAt)
	}
	l.renewed = time.Now()
	return nil
}

// version is the stored lease's version; zero if there is none. A lease of this
// run that an operator has ended meanwhile makes the guards give their slots
// up: others may be taking them.
func (l *longLease) version(ctx context.Context) (uint64, error) {
	value, err := l.store.Get(ctx, LeaseKey(l.agent))
	if errors.Is(err, external.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, errors.Wrap(err, "read long lease")
	}
	var held once.LongLease
	if json.Unmarshal(value.Data, &held) == nil && held.UntilMS == 0 && !l.renewed.IsZero() {
		for _, guard := range l.guards {
			guard.GiveUp()
		}
	}
	return value.Version, nil
}

// read reads another agent's long lease. One that was never written is over:
// no owner acts without having written its lease first.
func (l *longLease) read(ctx context.Context, agent string) (once.LongLease, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value, err := l.store.Get(ctx, LeaseKey(agent))
	if errors.Is(err, external.ErrNotFound) {
		return once.LongLease{}, nil
	}
	if err != nil {
		return once.LongLease{}, errors.Wrap(err, "read long lease")
	}
	var lease once.LongLease
	err = json.Unmarshal(value.Data, &lease)
	return lease, errors.Wrap(err, "long lease is not readable")
}
