package observe

import (
	"sync/atomic"
	"time"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/gateway"
)

// Dependency tells when something that the process depends on is lost and
// regained, a line each.
type Dependency struct {
	observer *Observer
	lost     atomic.Bool
	since    atomic.Int64
}

// NewStoreDependency watches calls to the store.
func (o *Observer) NewStoreDependency() *Dependency {
	return &Dependency{observer: o}
}

// StoreCalled counts a call to the store.
func (o *Observer) StoreCalled(call string, err error) {
	o.metrics.storeCalls.WithLabelValues(call, outcome(err)).Inc()
}

// Called notes the result of one call.
func (d *Dependency) Called(call string, err error) {
	d.observer.StoreCalled(call, err)
	if err != nil {
		if !d.lost.Swap(true) {
			d.since.Store(time.Now().UnixNano())
			d.observer.log.Warn(EventStoreLost, "call", call, "reason", err.Error())
		}
		return
	}
	if d.lost.Swap(false) {
		away := time.Since(time.Unix(0, d.since.Load()))
		d.observer.log.Info(EventStoreBack, "call", call, "away_ms", away.Milliseconds())
	}
}

func outcome(err error) string {
	if err != nil {
		return "failed"
	}
	return "answered"
}

// ConfigApplied logs a configuration that came in force.
func (o *Observer) ConfigApplied(version, before int64, routes, workspaces int) {
	o.metrics.configVersion.Set(float64(version))
	o.log.Info(EventConfig, "version", version, "before", before, "routes", routes, "workspaces", workspaces)
}

// Lateness logs that the process begins or ceases to lack processor time; while
// it does and another gateway does not, it takes no new callers.
func (o *Observer) Lateness(late, othersInTime bool, lag time.Duration) {
	event := EventInTime
	if late {
		event = EventLate
	}
	o.log.Warn(event, "lag_ms", wholeMillis(lag), "others_in_time", othersInTime)
}

// CallerEnded logs that an answer was broken off since its caller read too slowly.
func (o *Observer) CallerEnded(unread int, reason error) {
	o.log.Warn(EventSlow, "unread", unread, "reason", reason.Error())
}

// BadValue logs a value of the store that could not be read; what was known
// before stays in force.
func (o *Observer) BadValue(what string, err error) {
	o.metrics.badValues.Inc()
	o.log.Error(EventBadValue, "what", what, "reason", err.Error())
}

// TargetChanged logs a target that was added or changed.
func (o *Observer) TargetChanged(target balance.Target) {
	o.log.Info(EventTarget, "target", target.ID, "address", target.Address, "service", target.Service, "version", target.Version, "data_center", target.DataCenter, "leaving", target.Leaving, "slots", target.Slots)
}

// Notice logs what a target has said of itself in an answer, and counts it.
func (o *Observer) Notice(record *gateway.NoticeRecord) {
	if record.Change.Leaving {
		o.metrics.notices.WithLabelValues(record.Service, noticeLeaving).Inc()
		o.log.Info(EventLeaving, "target", record.Target, "life", record.Incarnation, "address", record.Address, "service", record.Service, "request", record.Request)
	}
	if record.Change.BackingOff {
		o.metrics.notices.WithLabelValues(record.Service, noticeRest).Inc()
		o.log.Info(EventRests, "target", record.Target, "life", record.Incarnation, "address", record.Address, "service", record.Service, "request", record.Request, "rest_ms", wholeMillis(record.Notice.RetryAfter))
	}
	if record.Change.Unreadable {
		o.metrics.notices.WithLabelValues(record.Service, noticeUnreadable).Inc()
		o.log.Warn(EventUnreadable, "target", record.Target, "life", record.Incarnation, "address", record.Address, "service", record.Service, "request", record.Request, "retry_after", record.Notice.Unreadable)
	}
}

// TargetsListed logs how many targets were known at the process's beginning.
func (o *Observer) TargetsListed(count int) {
	o.log.Info(EventTargets, "targets", count)
}

// TargetUnusable logs a target whose entry has become one that names no target.
func (o *Observer) TargetUnusable(id string) {
	o.log.Warn(EventUnusable, "target", id)
}

// TargetGone logs a target that the list no longer has.
func (o *Observer) TargetGone(id string) {
	o.log.Info(EventTargetGone, "target", id)
}

// Evacuated logs that nothing more is sent to a data centre's targets, or that
// something may be again.
func (o *Observer) Evacuated(dataCenter string, evacuated bool) {
	event := EventReturned
	if evacuated {
		event = EventEvacuated
	}
	o.log.Warn(event, "data_center", dataCenter)
}

// PeerFound logs another gateway that is heard for the first time, or again.
func (o *Observer) PeerFound(id, address string) {
	o.log.Info(EventPeerFound, "peer", id, "address", address)
}

// PeerLost logs another gateway that is heard no more.
func (o *Observer) PeerLost(id, address string, silent time.Duration) {
	o.log.Warn(EventPeerLost, "peer", id, "address", address, "silent_ms", silent.Milliseconds())
}

// TargetRefused logs that a target is left out since it refused a connection of
// another gateway.
func (o *Observer) TargetRefused(target, from string) {
	o.log.Info(EventRefused, "target", target, "peer", from)
}

// TargetSuspected logs that a target is left out since several gateways got no answer
// from it.
func (o *Observer) TargetSuspected(target, from string) {
	o.log.Info(EventDoubted, "target", target, "peer", from)
}

// ReplicaFetched logs the fetching of the store's content from a peer.
func (o *Observer) ReplicaFetched(id string, from, to int64, err error) {
	o.metrics.replicas.WithLabelValues(outcome(err)).Inc()
	if err != nil {
		o.log.Warn(EventReplica, "peer", id, "from", from, "to", to, "reason", err.Error())
		return
	}
	o.log.Info(EventReplica, "peer", id, "from", from, "to", to)
}
