package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

// caller is a worker that sends requests one after another.
type caller struct {
	soak *soak
	rng  *rand.Rand
	// keepAlive reuses connections to gateways until the gateways close them.
	keepAlive *http.Transport
}

// runCaller sends requests until the context ends. What each caller sends is drawn from the
// seed.
func (s *soak) runCaller(ctx context.Context, worker int) {
	c := &caller{soak: s, rng: rand.New(rand.NewPCG(s.seed, uint64(worker+2))), keepAlive: &http.Transport{DisableCompression: true}}
	defer c.keepAlive.CloseIdleConnections()
	for ctx.Err() == nil {
		finished := c.sendNext()
		s.mu.Lock()
		s.calls = append(s.calls, finished)
		s.mu.Unlock()
		select {
		case <-time.After(callPause):
		case <-ctx.Done():
		}
	}
}

// sendNext draws the next request, sends it and returns the result.
func (c *caller) sendNext() call {
	paths := []string{"/pay/1", "/ask/1", "/chat/1"}
	path := paths[c.rng.IntN(len(paths))]
	key := "key-stays"
	if c.rng.IntN(5) == 0 {
		key = "key-gone"
	}
	g := c.soak.gateways[c.rng.IntN(len(c.soak.gateways))]
	next := call{id: fmt.Sprintf("%d-%d", c.soak.seed, c.soak.ids.Add(1)), path: path, incarnation: g.incarnation(), gateway: g.id, sentAt: time.Now()}
	transport := c.keepAlive
	if c.rng.IntN(newConnectionEvery) == 0 {
		transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	}
	stopping := g.stopping.Load()
	next.send(transport, g.callers, key)
	next.endedAt = time.Now()
	next.stopping = stopping || g.stopping.Load()
	if next.incarnation != g.incarnation() {
		next.incarnation = "" // the gateway restarted meanwhile, so the incarnation is unknown
	}
	return next
}

// send sends the request and records the outcome.
func (c *call) send(transport *http.Transport, address, key string) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		c.connected, c.reused = true, info.Reused
	}}
	ctx, cancel := context.WithTimeout(httptrace.WithClientTrace(context.Background(), trace), 6*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+c.path, io.NopCloser(strings.NewReader("body")))
	if err != nil {
		c.err = err
		return
	}
	// The body can't be rewound, so the transport never sends the request a second time.
	request.ContentLength = int64(len("body"))
	request.Host = host
	request.Header.Set("X-Attempt-Id", c.id)
	request.Header.Set("X-Api-Key", key)
	request.Header.Set("X-Deadline-Ms", "4000")
	request.Header.Set("X-Prompt-Prefix", fmt.Sprintf("aa:100,s%d:2000,%s:10", len(c.id)%7, c.id))
	response, err := transport.RoundTrip(request)
	if err != nil {
		c.err = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	err = errors.CombineErrors(err, emulator.CheckFraming(response))
	c.status, c.body, c.stamp, c.err = response.StatusCode, string(body), response.Header.Get("X-Server-Stamp"), err
}
