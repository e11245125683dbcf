package process

import (
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/agent"
	"github.com/capersaddle/capersaddle/internal/external"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/once"
)

// Release is the body of a call that confirms that an agent is dead.
type Release struct {
	Agent string `json:"agent"`
}

// serveRelease ends a dead agent's long lease in the store. An agent that this
// process still hears is refused.
func (o *operators) serveRelease(w http.ResponseWriter, r *http.Request) {
	var release Release
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, mostCommand)).Decode(&release); err != nil || release.Agent == "" {
		writeFault(w, fault.New(fault.BadRequest, fault.NotRun, "name the agent"))
		return
	}
	for _, peer := range o.node.Members.Peers() {
		if peer.ID == release.Agent && peer.Alive() {
			writeFault(w, fault.New(fault.Conflict, fault.NotRun, "%s is seen as %s; stop it first", peer.ID, memberRow(peer).Standing))
			return
		}
	}
	if err := o.release(r, release.Agent); err != nil {
		writeFault(w, err)
		return
	}
	o.log.Warn("long lease ended by an operator", "agent", release.Agent)
	writeJSON(w, struct{}{})
}

func (o *operators) release(r *http.Request, name string) error {
	key := agent.LeaseKey(name)
	held, err := o.store.Get(r.Context(), key)
	if errors.Is(err, external.ErrNotFound) {
		return fault.New(fault.Conflict, fault.NotRun, "%s has no long lease; is the name right?", name)
	}
	if err != nil {
		return fault.New(fault.StoreAway, fault.NotRun, "%v", err)
	}
	data, err := json.Marshal(once.LongLease{Incarnation: "released"})
	if err != nil {
		return errors.Wrap(err, "write lease")
	}
	if _, err := o.store.Put(r.Context(), key, data, held.Version); err != nil {
		return fault.New(fault.Unsettled, fault.Unknown, "%v; releasing again is safe", err)
	}
	return nil
}
