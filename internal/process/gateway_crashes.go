package process

import (
	"github.com/capersaddle/capersaddle/internal/crashstore"
	"github.com/capersaddle/capersaddle/internal/peer"
)

// registerCrashStore adds the service that saves crash records in the store: those of what is held, and
// more while some gateways are unreachable. A gateway without peers needs none, since no other process would read the
// records.
func (p *GatewayProcess) registerCrashStore() error {
	if p.peers == nil {
		return nil
	}
	return p.kernel.Register("crash records", crashstore.New(crashstore.Options{
		Gateway: p.settings.ID,
		Table:   p.crashes.Table,
		Store:   p.feed,
		Scope:   p.crashesToSave,
		OnCall:  func(err error) { p.store.Called("crashes", err) },
	}))
}

// crashesToSave selects the crash records that this process saves. A silent gateway may be alive
// but partitioned from this one only. Among gateways that reach each other, only the first in the
// order of store readers saves.
func (p *GatewayProcess) crashesToSave() crashstore.Scope {
	census := p.peers.Census()
	switch {
	case !p.peers.First():
		return crashstore.Nothing
	case census.Silent == 0:
		return crashstore.OnlyHeld
	case census.Live < peer.CrashKeepers:
		// With so few live gateways, each tracks every request.
		return crashstore.All
	}
	return crashstore.OnlySuspicious
}
