// Package node is what a router and an agent have in common: links, members
// and configuration, put together from their parts.
package node

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/capersaddle/capersaddle/internal/config"
	"github.com/capersaddle/capersaddle/internal/external"
	"github.com/capersaddle/capersaddle/internal/kernel"
	"github.com/capersaddle/capersaddle/internal/link"
	"github.com/capersaddle/capersaddle/internal/member"
	"github.com/capersaddle/capersaddle/internal/secure"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// Names of the services on the kernel.
const (
	ServiceLinks          = "links"
	ServiceMembers        = "members"
	ServiceConfig         = "config"
	ServiceConfigNotifier = "urge"
)

// Options are what a node is made of.
type Options struct {
	ID         string
	Role       string
	DataCenter string
	// LinkListener and HeartbeatConn are owned by the node.
	LinkListener  net.Listener
	HeartbeatConn *net.UDPConn
	// Seeds are beat addresses of other processes.
	Seeds []string
	// Budget is the most bytes a second that membership may send.
	Budget  int
	Store   external.Store
	Log     *log.Logger
	Members member.Options
	// Keys are nil for links without encryption.
	Keys *secure.Keys
	// Signer signs beats.
	Signer *secure.Signer
}

// clientTLS is for links that the process opens.
func (o *Options) clientTLS() *tls.Config {
	if o.Keys == nil {
		return nil
	}
	return o.Keys.Client(secure.RoleRouter, secure.RoleAgent)
}

// serverTLS is for links that the process takes.
func (o *Options) serverTLS() *tls.Config {
	if o.Keys == nil {
		return nil
	}
	return o.Keys.Server(secure.RoleRouter, secure.RoleAgent)
}

// Node holds the common parts of one process.
type Node struct {
	Session    string
	Pool       *link.Pool
	Members    *member.List
	Heartbeats *member.Service
	Config     *config.State
	Follower   *config.Follower
	server     *link.Server
	options    Options
	// handler serves the exchanges that are the role's own.
	handler link.Handler
}

// New puts a node together and registers its services. The role's handler is
// set with Serve before the kernel starts.
func New(k *kernel.Kernel, options Options) (*Node, error) {
	session := uuid.NewString()
	hello := &wire.Hello{Version: link.Version, ProcessId: options.ID, Role: options.Role, DataCenter: options.DataCenter}
	n := &Node{
		Session: session,
		Pool:    link.NewPool(hello, options.clientTLS()),
		Config:  config.NewState(),
		options: options,
	}
	n.Members = member.NewList(options.Members, &wire.Member{
		Id:          options.ID,
		Role:        options.Role,
		DataCenter:  options.DataCenter,
		LinkAddress: options.LinkListener.Addr().String(),
		BeatAddress: options.HeartbeatConn.LocalAddr().String(),
		Incarnation: newIncarnation(),
		Session:     session,
	})
	n.Heartbeats = member.NewService(n.Members, options.HeartbeatConn, member.ServiceOptions{
		Seeds:          options.Seeds,
		BytesPerSecond: options.Budget,
		Signer:         options.Signer,
		ConfigRevision: n.Config.Revision,
		Roster:         n.roster,
	}, options.Log)
	n.Follower = config.NewFollower(n.Config, options.Store, n, options.Log)
	return n, n.register(k, hello)
}

func (n *Node) register(k *kernel.Kernel, hello *wire.Hello) error {
	return errors.Join(
		k.Register(ServiceLinks, &links{node: n, hello: hello}),
		k.Register(ServiceMembers, n.Heartbeats),
		k.Register(ServiceConfig, n.Follower),
		k.Register(ServiceConfigNotifier, newUrger(n.Config, n.Heartbeats)),
	)
}

// Serve sets the handler of the role's own exchanges.
func (n *Node) Serve(handler link.Handler) {
	n.handler = handler
}

// BadPeers counts link peers dropped for what they sent.
func (n *Node) BadPeers() int64 {
	if n.server == nil {
		return 0
	}
	return n.server.BadPeers()
}

// handle serves the exchanges that all roles share.
func (n *Node) handle(ctx context.Context, open *wire.Open, stream link.Stream) {
	switch kind := open.GetKind().(type) {
	case *wire.Open_Pull:
		delta := n.Config.DeltaSince(kind.Pull.GetHave())
		_ = stream.Send(&wire.Reply{Kind: &wire.Reply_Delta{Delta: delta}})
	case *wire.Open_Roster:
		n.Members.Merge(kind.Roster.GetMembers())
		roster := &wire.Roster{Members: n.Members.Roster()}
		_ = stream.Send(&wire.Reply{Kind: &wire.Reply_Roster{Roster: roster}})
	default:
		if n.handler != nil {
			n.handler(ctx, open, stream)
		}
	}
}

// roster asks another process for all members, and tells it this one's.
func (n *Node) roster(ctx context.Context, address string) ([]*wire.Member, error) {
	own := &wire.Roster{Members: n.Members.Roster()}
	reply, err := link.Ask(ctx, n.Pool, address, &wire.Open{Kind: &wire.Open_Roster{Roster: own}})
	if err != nil {
		return nil, err
	}
	return reply.GetRoster().GetMembers(), nil
}

// Ahead implements config.Peers.
func (n *Node) Ahead(revision uint64) (string, bool) {
	return n.Members.Ahead(revision)
}

// Watcher implements config.Peers.
func (n *Node) Watcher() bool {
	return n.Members.Watcher()
}

// Pull implements config.Peers.
func (n *Node) Pull(ctx context.Context, address string, have uint64) (*wire.Delta, error) {
	reply, err := link.Ask(ctx, n.Pool, address, &wire.Open{Kind: &wire.Open_Pull{Pull: &wire.Pull{Have: have}}})
	if err != nil {
		return nil, err
	}
	if reply.GetDelta() == nil {
		return nil, errors.New("peer answered a pull with something else")
	}
	return reply.GetDelta(), nil
}

// links is the service that owns the link server and the pool.
type links struct {
	node  *Node
	hello *wire.Hello
}

// Start begins to take links.
func (l *links) Start(context.Context) error {
	n := l.node
	n.server = link.NewServer(n.options.LinkListener, l.hello, n.options.serverTLS(), n.options.Log, n.handle)
	return nil
}

// Close ends all links and waits.
func (l *links) Close() error {
	return errors.CombineErrors(l.node.Pool.Close(), l.node.server.Close())
}
