package observe

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/capersaddle/capersaddle/internal/gateway"
	"github.com/capersaddle/capersaddle/internal/quarantine"
)

// CrashNoted counts that a target crashed while a request was in flight there. It logs the crash
// only if the request was in flight at other crashed targets before: a first crash counts for every
// request that the target had in flight.
func (o *Observer) CrashNoted(target string, change quarantine.Change) {
	o.metrics.crashes.Inc()
	if change.Suspicious() {
		o.log.Warn(EventCrash, "target", target, "print", change.Fingerprint, "ends", len(change.Incarnations))
	}
}

// TargetEnded counts and logs that a target ended unplanned while requests were in flight there, with
// the parts of their prompts: a part that crashes targets is in each end and is never answered.
func (o *Observer) TargetEnded(end gateway.TargetEnd) {
	o.metrics.targetEnds.Inc()
	parts := make([]string, 0, len(end.Parts))
	for _, part := range end.Parts {
		answered := "never"
		if part.AnsweredAgo >= 0 {
			answered = strconv.FormatInt(part.AnsweredAgo.Milliseconds(), 10) + "ms"
		}
		parts = append(parts, fmt.Sprintf("%s(requests:%d,answered:%s)", part.ID, part.Requests, answered))
	}
	o.log.Warn(EventTargetEnded, "target", end.Target, "requests", end.Requests, "parts", strings.Join(parts, " "))
}

// QuarantineChanged logs that a request is held back from now on, or no longer. The peer is the one
// that reported it; empty for none.
func (o *Observer) QuarantineChanged(change quarantine.Change, peer string) {
	event := EventHeldBack
	switch {
	case change.Fingerprint.IsPart() && change.HoldEnded():
		event = EventPartCleared
	case change.Fingerprint.IsPart():
		event = EventPartAtLimit
	case change.HoldEnded():
		event = EventCleared
	}
	o.log.Warn(event, "print", change.Fingerprint, "ends", len(change.Incarnations), "silent", change.Suspected(), "before", change.Before, "peer", peer)
}

// PartHeld logs that requests with a part are held back from now on, as this gateway has found.
func (o *Observer) PartHeld(part, workspace string, change quarantine.Change) {
	o.log.Warn(EventPartHeld, "part", part, "workspace", workspace, "print", change.Fingerprint, "ends", len(change.Incarnations))
}

// RequestSuspected logs that a target fell silent while it ran a request.
func (o *Observer) RequestSuspected(target string, change quarantine.Change) {
	o.log.Info(EventSuspect, "target", target, "print", change.Fingerprint, "ends", len(change.Incarnations), "silent", change.Suspected())
}

// HealthAsked counts the questions to targets about their health.
func (o *Observer) HealthAsked(health gateway.Health) {
	o.metrics.healthAsks.WithLabelValues(healthNames[health]).Inc()
}

// healthNames are the values of the label "answer".
var healthNames = map[gateway.Health]string{
	gateway.HealthUnclear:  "unclear",
	gateway.HealthAnswered: "answered",
	gateway.HealthSilent:   "silent",
	gateway.HealthRefused:  "refused",
}

// TrialBegan logs that one copy of a request that is held back is sent to a target.
func (o *Observer) TrialBegan(target string, change quarantine.Change) {
	o.log.Warn(EventTrial, "target", target, "print", change.Fingerprint, "ends", len(change.Incarnations), "trial", change.Trials)
}
