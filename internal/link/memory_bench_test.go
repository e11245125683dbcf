package link

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/capersaddle/capersaddle/internal/secure"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// memoryInUse returns the size of the process's heap and stacks.
func memoryInUse() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// BenchmarkIdleLink measures the memory of a session without streams, both ends together.
func BenchmarkIdleLink(b *testing.B) {
	authority, err := secure.NewAuthority()
	if err != nil {
		b.Fatal(err)
	}
	source, err := authority.Issue("bench", secure.RoleAgent, time.Hour)
	if err != nil {
		b.Fatal(err)
	}
	keys, err := secure.Load(source)
	if err != nil {
		b.Fatal(err)
	}
	encrypted := keys.Server(secure.RoleAgent)
	for name, config := range map[string]*tls.Config{"plain": nil, "tls": encrypted} {
		for _, n := range []int{100, 400} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				for b.Loop() {
					measureIdle(b, n, config)
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

func measureIdle(b *testing.B, n int, config *tls.Config) {
	var servers []*Server
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		servers = append(servers, NewServer(listener, hello(), config, log.New(io.Discard), echo))
	}
	pool := NewPool(hello(), config)
	before := memoryInUse()
	for _, server := range servers {
		if _, err := Ask(b.Context(), pool, server.Address(), newCall("a")); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric((memoryInUse()-before)/float64(n), "bytes/link-both-ends")
	_ = pool.Close()
	for _, server := range servers {
		_ = server.Close()
	}
}

// BenchmarkOpenExchange measures the memory of one exchange in flight on a session, both
// ends together.
func BenchmarkOpenExchange(b *testing.B) {
	const n = 500
	for b.Loop() {
		release := make(chan struct{})
		listener, _ := net.Listen("tcp", "127.0.0.1:0")
		server := NewServer(listener, hello(), nil, log.New(io.Discard), func(ctx context.Context, _ *wire.Open, stream Stream) {
			_ = stream.Send(&wire.Reply{})
			select {
			case <-release:
			case <-ctx.Done():
			}
		})
		pool := NewPool(hello(), nil)
		var streams []Stream
		before := memoryInUse()
		for range n {
			stream, err := pool.Open(b.Context(), server.Address(), newCall("a"))
			if err != nil {
				b.Fatal(err)
			}
			_ = stream.Recv(new(wire.Reply))
			streams = append(streams, stream)
		}
		b.ReportMetric((memoryInUse()-before)/n, "bytes/exchange-both-ends")
		close(release)
		for _, stream := range streams {
			_ = stream.Close()
		}
		_ = pool.Close()
		_ = server.Close()
	}
	b.ReportMetric(0, "ns/op")
}
