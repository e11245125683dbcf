package observe

import (
	"sync/atomic"
	"time"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/gateway"
)

// Dependency logs one line when the store is lost and one when it is back.
type Dependency struct {
	observer  *Observer
	lost      atomic.Bool
	lostSince atomic.Int64
}

// NewStoreDependency returns a Dependency for calls to the store.
func (o *Observer) NewStoreDependency() *Dependency {
	return &Dependency{observer: o}
}

// StoreCalled counts a call to the store.
func (o *Observer) StoreCalled(call string, err error) {
	o.metrics.storeCalls.WithLabelValues(call, outcome(err)).Inc()
}

// Called records the result of a call.
func (d *Dependency) Called(call string, err error) {
	d.observer.StoreCalled(call, err)
	if err != nil {
		if !d.lost.Swap(true) {
			d.lostSince.Store(time.Now().UnixNano())
			d.observer.log.Warn(EventStoreLost, "call", call, "reason", err.Error())
		}
		return
	}
	if d.lost.Swap(false) {
		outage := time.Since(time.Unix(0, d.lostSince.Load()))
		d.observer.log.Info(EventStoreBack, "call", call, "away_ms", outage.Milliseconds())
	}
}

func outcome(err error) string {
	if err != nil {
		return "failed"
	}
	return "answered"
}

// ConfigApplied logs a configuration that took effect.
func (o *Observer) ConfigApplied(version, before int64, routes, workspaces int) {
	o.metrics.configVersion.Set(float64(version))
	o.log.Info(EventConfig, "version", version, "before", before, "routes", routes, "workspaces", workspaces)
}

// Lateness logs that the process starts or stops lagging for want of CPU time. While it lags and
// another gateway does not, it accepts no new callers.
func (o *Observer) Lateness(lagging, othersInTime bool, lag time.Duration) {
	event := EventProcessInTime
	if lagging {
		event = EventProcessLate
	}
	o.log.Warn(event, "lag_ms", wholeMillis(lag), "others_in_time", othersInTime)
}

// MemoryUse logs that the memory in use, in bytes, has become a high share of the process's limit, or no
// longer is.
func (o *Observer) MemoryUse(used int64, high bool) {
	o.log.Warn(EventMemoryHigh, "used_mb", used>>20, "high", high)
}

// CallerEnded logs that a response was broken off because its caller read too slowly.
func (o *Observer) CallerEnded(unread int, reason error) {
	o.log.Warn(EventCallerEnded, "unread", unread, "reason", reason.Error())
}

// CallerConnectionEnded counts a connection of a caller that was ended because of a limit of the process.
func (o *Observer) CallerConnectionEnded(reason string) {
	o.metrics.callersEnded.WithLabelValues(reason).Inc()
}

// BadValue logs a value of the store that can't be read. The previous value stays in force.
func (o *Observer) BadValue(what string, err error) {
	o.metrics.badValues.Inc()
	o.log.Error(EventBadValue, "what", what, "reason", err.Error())
}

// TargetChanged logs a target that was added or changed.
func (o *Observer) TargetChanged(target balance.Target) {
	o.log.Info(EventTargetChanged, "target", target.ID, "address", target.Address, "service", target.Service, "version", target.Version, "data_center", target.DataCenter, "leaving", target.Leaving, "slots", target.Slots)
}

// Notice logs and counts what a target reported about itself in a response.
func (o *Observer) Notice(record *gateway.NoticeRecord) {
	if record.Change.Leaving {
		o.metrics.notices.WithLabelValues(record.Service, noticeLeaving).Inc()
		o.log.Info(EventLeaving, "target", record.Target, "life", record.Incarnation, "address", record.Address, "service", record.Service, "request", record.Request)
	}
	if record.Change.BackingOff {
		o.metrics.notices.WithLabelValues(record.Service, noticeRest).Inc()
		o.log.Info(EventTargetResting, "target", record.Target, "life", record.Incarnation, "address", record.Address, "service", record.Service, "request", record.Request, "rest_ms", wholeMillis(record.Notice.RetryAfter))
	}
	if record.Change.Unreadable {
		o.metrics.notices.WithLabelValues(record.Service, noticeUnreadable).Inc()
		o.log.Warn(EventNoticeUnreadable, "target", record.Target, "life", record.Incarnation, "address", record.Address, "service", record.Service, "request", record.Request, "retry_after", record.Notice.Unreadable)
	}
}

// TargetsListed logs the number of targets that were known at the start of the process.
func (o *Observer) TargetsListed(count int) {
	o.log.Info(EventTargetsListed, "targets", count)
}

// TargetUnusable logs a target whose entry has become invalid.
func (o *Observer) TargetUnusable(id string) {
	o.log.Warn(EventUnusable, "target", id)
}

// TargetGone logs a target that was removed from the list.
func (o *Observer) TargetGone(id string) {
	o.log.Info(EventTargetGone, "target", id)
}

// Evacuated logs that the targets of a data centre get no more requests or, with false, that they
// may get them again.
func (o *Observer) Evacuated(dataCenter string, evacuated bool) {
	event := EventReturned
	if evacuated {
		event = EventEvacuated
	}
	o.log.Warn(event, "data_center", dataCenter)
}

// PeerFound logs a gateway that is heard for the first time, or again after a silence.
func (o *Observer) PeerFound(id, address string) {
	o.log.Info(EventPeerFound, "peer", id, "address", address)
}

// SeedsListed logs the addresses of gateways that the store lists.
func (o *Observer) SeedsListed(addresses []string) {
	o.log.Info(EventSeedsListed, "addresses", addresses)
}

// SeedsSaved logs that this process wrote a list of gateways' addresses to the store, or why it could not.
func (o *Observer) SeedsSaved(addresses []string, err error) {
	if err != nil {
		o.log.Warn(EventSeedsSaved, "addresses", addresses, "reason", err.Error())
		return
	}
	o.log.Info(EventSeedsSaved, "addresses", addresses, "reason", "")
}

// PeerLost logs a gateway that is no longer heard.
func (o *Observer) PeerLost(id, address string, silent time.Duration) {
	o.log.Warn(EventPeerLost, "peer", id, "address", address, "silent_ms", silent.Milliseconds())
}

// TargetRefused logs that a target is skipped because it refused a connection from another gateway.
func (o *Observer) TargetRefused(target, peer string) {
	o.log.Info(EventRefused, "target", target, "peer", peer)
}

// TargetSuspected logs that a target is skipped because several gateways got no response from it.
func (o *Observer) TargetSuspected(target, peer string) {
	o.log.Info(EventTargetSuspected, "target", target, "peer", peer)
}

// ReplicaFetched logs that the contents of the store were fetched from a peer.
func (o *Observer) ReplicaFetched(id string, from, to int64, err error) {
	o.metrics.replicas.WithLabelValues(outcome(err)).Inc()
	if err != nil {
		o.log.Warn(EventReplica, "peer", id, "from", from, "to", to, "reason", err.Error())
		return
	}
	o.log.Info(EventReplica, "peer", id, "from", from, "to", to)
}
