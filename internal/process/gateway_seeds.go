package process

import (
	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/peer"
	"github.com/capersaddle/capersaddle/internal/seedstore"
)

// newSeedKeeper returns the service that keeps the addresses of a few running gateways in the store, for
// gateways whose seeds are stale.
func (p *GatewayProcess) newSeedKeeper() *seedstore.Keeper {
	return seedstore.New(seedstore.Options{
		Address:  p.addresses.Link,
		Order:    peer.StoreOrder(p.settings.ID),
		Store:    p.feed,
		IsWriter: p.savesSeeds,
		Heard:    p.peers.Heard,
		OnList:   p.useStoredSeeds,
		OnSave:   p.recordSeedsSaved,
	})
}

// savesSeeds reports whether this process may write the list: it knows the store's content, stays, and is the
// first of the gateways that it hears.
func (p *GatewayProcess) savesSeeds() bool {
	return p.feed.Loaded() && !p.gateway.Stop.Begun() && p.peers.First()
}

// recordSeedsSaved records a call to the store. One that was refused because the list is another one was
// answered.
func (p *GatewayProcess) recordSeedsSaved(addresses []string, err error) {
	p.observer.SeedsSaved(addresses, err)
	if errors.Is(err, seedstore.ErrOutdated) {
		err = nil
	}
	p.store.Called("seeds", err)
}

// useStoredSeeds contacts the gateways that the store lists.
func (p *GatewayProcess) useStoredSeeds(addresses []string) {
	p.observer.SeedsListed(addresses)
	p.peers.SetStoredSeeds(addresses)
}
