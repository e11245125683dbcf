package process

import (
	"github.com/capersaddle/capersaddle/internal/originstore"
)

// registerOriginStore adds the service that saves in the store which versions began the streams that are
// running, for gateways that begin after all were lost.
func (p *GatewayProcess) registerOriginStore() error {
	return p.kernel.Register("stream records", originstore.New(originstore.Options{
		Gateway:  p.settings.ID,
		Table:    p.gateway.Origins.Running,
		Store:    p.feed,
		IsWriter: p.savesOrigins,
		OnCall:   func(err error) { p.store.Called("streams", err) },
	}))
}

// savesOrigins reports whether this process saves the records of streams: if it is the first of those that
// ask the store, while several versions may have begun them.
func (p *GatewayProcess) savesOrigins() bool {
	return (p.peers == nil || p.peers.First()) && p.gateway.MayMixVersions()
}
