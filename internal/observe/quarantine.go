package observe

import "github.com/capersaddle/capersaddle/internal/quarantine"

// CrashNoted counts that a target ended without a plan while a request was under way there,
// and logs it if that request was under way at others before: of the first there are as many
// as the target had requests.
func (o *Observer) CrashNoted(target string, change quarantine.Change) {
	o.metrics.crashes.Inc()
	if change.Suspicious() {
		o.log.Warn(EventCrash, "target", target, "print", change.Fingerprint, "ends", len(change.Incarnations))
	}
}

// QuarantineChanged logs that a request is held back from now on, or no more; the peer is
// the one that said so, empty for none.
func (o *Observer) QuarantineChanged(change quarantine.Change, peer string) {
	event := EventHeldBack
	if change.HoldEnded() {
		event = EventCleared
	}
	o.log.Warn(event, "print", change.Fingerprint, "ends", len(change.Incarnations), "before", change.Before, "peer", peer)
}

// TrialBegan logs that one copy of a request that is held back is sent to a target.
func (o *Observer) TrialBegan(target string, change quarantine.Change) {
	o.log.Warn(EventTrial, "target", target, "print", change.Fingerprint, "ends", len(change.Incarnations), "trial", change.Trials)
}
