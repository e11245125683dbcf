// Package node assembles the parts that routers and agents have in common: links, membership
// and configuration.
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

// Names of the services registered with the kernel.
const (
	ServiceLinks          = "links"
	ServiceMembers        = "members"
	ServiceConfig         = "config"
	ServiceConfigNotifier = "urge"
)

// Options configures a node.
type Options struct {
	ID         string
	Role       string
	DataCenter string
	// LinkListener and HeartbeatConn are owned by the node.
	LinkListener  net.Listener
	HeartbeatConn *net.UDPConn
	// Seeds are heartbeat addresses of other processes.
	Seeds []string
	// Budget limits the bytes per second that membership may send.
	Budget  int
	Store   external.Store
	Log     *log.Logger
	Members member.Options
	// Keys is nil for links without encryption.
	Keys *secure.Keys
	// Signer signs heartbeats.
	Signer *secure.Signer
}

// clientTLS returns the TLS configuration of outgoing links; nil without keys.
func (o *Options) clientTLS() *tls.Config {
	if o.Keys == nil {
		return nil
	}
	return o.Keys.Client(secure.RoleRouter, secure.RoleAgent)
}

// serverTLS returns the TLS configuration of incoming links; nil without keys.
func (o *Options) serverTLS() *tls.Config {
	if o.Keys == nil {
		return nil
	}
	return o.Keys.Server(secure.RoleRouter, secure.RoleAgent)
}

// Node holds the parts that routers and agents have in common.
type Node struct {
	Session    string
	Pool       *link.Pool
	Members    *member.List
	Heartbeats *member.Service
	Config     *config.State
	Follower   *config.Follower
	server     *link.Server
	options    Options
	// handler serves the exchanges specific to the role.
	handler link.Handler
}

// New creates a node and registers its services. The role's handler is set with Serve before
// the kernel starts.
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
		Roster:         n.exchangeRosters,
	}, options.Log)
	n.Follower = config.NewFollower(n.Config, options.Store, n, options.Log)
	return n, n.register(k, hello)
}

func (n *Node) register(k *kernel.Kernel, hello *wire.Hello) error {
	return errors.Join(
		k.Register(ServiceLinks, &links{node: n, hello: hello}),
		k.Register(ServiceMembers, n.Heartbeats),
		k.Register(ServiceConfig, n.Follower),
		k.Register(ServiceConfigNotifier, newConfigNotifier(n.Config, n.Heartbeats)),
	)
}

// Serve sets the handler of the exchanges specific to the role.
func (n *Node) Serve(handler link.Handler) {
	n.handler = handler
}

// BadPeers returns the number of link peers dropped for invalid messages.
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

// exchangeRosters sends this process's roster to another process and returns that process's.
func (n *Node) exchangeRosters(ctx context.Context, address string) ([]*wire.Member, error) {
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
		return nil, errors.New("peer answered a pull request without a delta")
	}
	return reply.GetDelta(), nil
}

// links is the service that owns the link server and the connection pool.
type links struct {
	node  *Node
	hello *wire.Hello
}

// Start starts to accept links.
func (l *links) Start(context.Context) error {
	n := l.node
	n.server = link.NewServer(n.options.LinkListener, l.hello, n.options.serverTLS(), n.options.Log, n.handle)
	return nil
}

// Close closes all links and waits for them.
func (l *links) Close() error {
	return errors.CombineErrors(l.node.Pool.Close(), l.node.server.Close())
}
