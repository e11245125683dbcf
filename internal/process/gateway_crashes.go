package process

import (
	"github.com/capersaddle/capersaddle/internal/crashstore"
	"github.com/capersaddle/capersaddle/internal/peer"
)

// saveCrashes has crash records saved in the store while some gateways are not heard. Where
// there are no others, nobody would read them.
func (p *GatewayProcess) saveCrashes() error {
	if p.peers == nil {
		return nil
	}
	return p.kernel.Register("crash records", crashstore.New(crashstore.Options{
		Gateway: p.settings.ID,
		Table:   p.crashes.Table,
		Store:   p.feed,
		Scope:   p.crashTurn,
		OnCall:  func(err error) { p.store.Called("crashes", err) },
	}))
}

// crashTurn is what this process is to save of crashes. A gateway that is not heard may be
// cut off from this one alone. Of those that hear each other one saves: the first that asks
// the store.
func (p *GatewayProcess) crashTurn() crashstore.Scope {
	census := p.peers.Census()
	switch {
	case census.Silent == 0 || !p.peers.First():
		return crashstore.Nothing
	case census.Live < peer.CrashKeepers:
		// Each of so few keeps track of every request.
		return crashstore.All
	}
	return crashstore.OnlySuspicious
}
