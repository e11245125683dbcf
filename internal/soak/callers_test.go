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
)

// caller is one worker that sends requests one after the other.
type caller struct {
	soak   *soak
	source *rand.Rand
	// open keeps connections to gateways until they are gone.
	open *http.Transport
}

// callOn sends requests until the end; what each caller sends is drawn from
// the seed.
func (s *soak) callOn(ctx context.Context, worker int) {
	c := &caller{soak: s, source: rand.New(rand.NewPCG(s.seed, uint64(worker+2))), open: &http.Transport{DisableCompression: true}}
	defer c.open.CloseIdleConnections()
	for ctx.Err() == nil {
		made := c.call()
		s.mu.Lock()
		s.calls = append(s.calls, made)
		s.mu.Unlock()
		select {
		case <-time.After(callPause):
		case <-ctx.Done():
		}
	}
}

// call draws one request and sends it.
func (c *caller) call() call {
	paths := []string{"/pay/1", "/ask/1", "/chat/1"}
	path := paths[c.source.IntN(len(paths))]
	key := "key-stays"
	if c.source.IntN(5) == 0 {
		key = "key-gone"
	}
	g := c.soak.gateways[c.source.IntN(len(c.soak.gateways))]
	made := call{id: fmt.Sprintf("%d-%d", c.soak.seed, c.soak.ids.Add(1)), path: path, life: g.life(), gateway: g.id, sentAt: time.Now()}
	transport := c.open
	if c.source.IntN(newConnection) == 0 {
		transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	}
	stopping := g.stopping.Load()
	made.send(transport, g.callers, key)
	made.endedAt = time.Now()
	made.stopping = stopping || g.stopping.Load()
	if made.life != g.life() {
		made.life = "" // one of two: it tells nothing of either
	}
	return made
}

// send sends the request and notes what comes of it.
func (c *call) send(transport *http.Transport, address, key string) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		c.reached, c.kept = true, info.Reused
	}}
	ctx, cancel := context.WithTimeout(httptrace.WithClientTrace(context.Background(), trace), 6*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+c.path, io.NopCloser(strings.NewReader("body")))
	if err != nil {
		c.err = err
		return
	}
	// A body that can't be read twice: the transport sends a request once only.
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
	c.status, c.body, c.stamp, c.err = response.StatusCode, string(body), response.Header.Get("X-Server-Stamp"), err
}
