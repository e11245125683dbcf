package process

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/replica"
	"github.com/capersaddle/capersaddle/internal/settings"
)

// BenchmarkFirstCopy measures loading another gateway's complete copy of 3,000 targets.
func BenchmarkFirstCopy(b *testing.B) {
	is := is.New(b)
	const targets = 3000
	items := make([]replica.Item, 0, targets)
	for i := range targets {
		value := fmt.Sprintf(`{"service":"puye52a","address":"10.%d.64.%d:8080","zone":"tema-hall","version":"v1","slots":64,"state":"ready","cold_remaining_ms":0,"stage":"prefill_decode","models":[{"name":"m","version":1,"adapters":[]}],"sequence":%d}`, i/250, i%250, i%7)
		items = append(items, replica.Item{Key: fmt.Sprintf("servers/i-%010x", uint64(i)*0x9e3779b97f4a7c15>>24), Value: []byte(value), Revision: int64(i + 1)})
	}
	from := replica.New(func(replica.Item) bool { return true })
	from.Replace(items, targets)
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		p, err := NewGateway(b.Context(), &settings.Gateway{ID: "g", DataCenter: "z", Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", Store: "127.0.0.1:1"}, NewLogger(discard{}, settings.Log{Format: "json", Level: "info"}))
		is.NoErr(err)
		page := from.Page(p.feed.Pull())
		b.StartTimer()
		is.NoErr(p.feed.Absorb(page))
		b.StopTimer()
		is.Equal(len(p.gateway.Balancer.Targets()), targets)
		is.NoErr(p.kernel.Close())
		b.StartTimer()
	}
}

// discard drops log lines. Unlike io.Discard, it is not special-cased by the logger, which
// formats the lines as for a file.
type discard struct{}

// Write reports the line as written.
func (discard) Write(line []byte) (int, error) { return len(line), nil }
