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

// Release is the body of a call by which an operator confirms that an agent is dead.
type Release struct {
	Agent string `json:"agent"`
}

// serveRelease ends a dead agent's long lease in the store. It refuses if this process still sees
// the agent alive.
func (o *operators) serveRelease(w http.ResponseWriter, r *http.Request) {
	var release Release
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCommandBytes)).Decode(&release); err != nil || release.Agent == "" {
		writeFault(w, fault.New(fault.BadRequest, fault.NotRun, "the request names no agent"))
		return
	}
	for _, peer := range o.node.Members.Peers() {
		if peer.ID == release.Agent && peer.Alive() {
			writeFault(w, fault.New(fault.Conflict, fault.NotRun, "this router sees %s as %s; stop the agent first", peer.ID, memberRow(peer).Standing))
			return
		}
	}
	if err := o.releaseLease(r, release.Agent); err != nil {
		writeFault(w, err)
		return
	}
	o.log.Warn("operator released a long lease", "agent", release.Agent)
	writeJSON(w, struct{}{})
}

func (o *operators) releaseLease(r *http.Request, agentID string) error {
	key := agent.LeaseKey(agentID)
	current, err := o.store.Get(r.Context(), key)
	if errors.Is(err, external.ErrNotFound) {
		return fault.New(fault.Conflict, fault.NotRun, "%s has no long lease; check the agent's name", agentID)
	}
	if err != nil {
		return fault.New(fault.StoreAway, fault.NotRun, "%v", err)
	}
	data, err := json.Marshal(once.LongLease{Incarnation: "released"})
	if err != nil {
		return errors.Wrap(err, "encode lease")
	}
	if _, err := o.store.Put(r.Context(), key, data, current.Version); err != nil {
		return fault.New(fault.Unsettled, fault.Unknown, "%v; it is safe to retry the release", err)
	}
	return nil
}
