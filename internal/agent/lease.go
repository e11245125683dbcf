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

// leaseRenewInterval is the time between two renewals of an agent's long lease.
const leaseRenewInterval = 10 * time.Minute

// LeaseKey returns the store key of an agent's long lease.
func LeaseKey(agent string) string {
	return "once/lease/" + agent
}

// longLease is an agent's single long lease, which all its guards share.
type longLease struct {
	store  external.Store
	agent  string
	guards []*once.Guard

	mu        sync.Mutex
	renewedAt time.Time
}

// renew writes the lease when it is due.
func (l *longLease) renew(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.renewedAt.IsZero() && time.Since(l.renewedAt) < leaseRenewInterval {
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
	l.renewedAt = time.Now()
	return nil
}

// version returns the stored lease's version, or zero if there is none. If an operator
// has ended a lease of this incarnation meanwhile, the guards give up their slots, since
// other agents may be taking them over.
func (l *longLease) version(ctx context.Context) (uint64, error) {
	value, err := l.store.Get(ctx, LeaseKey(l.agent))
	if errors.Is(err, external.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, errors.Wrap(err, "read long lease")
	}
	var stored once.LongLease
	if json.Unmarshal(value.Data, &stored) == nil && stored.UntilMS == 0 && !l.renewedAt.IsZero() {
		for _, guard := range l.guards {
			guard.GiveUp()
		}
	}
	return value.Version, nil
}

// read reads another agent's long lease. A lease that was never written counts as
// expired: no owner acts before it has written its lease.
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
