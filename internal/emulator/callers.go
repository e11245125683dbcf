package emulator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Callers send requests to gateways at a fixed interval, round robin over the gateways and, per
// gateway, over the paths.
type Callers struct {
	// Addresses are the addresses at which the gateways serve callers, IP:port.
	Addresses []string
	Host      string
	Key       string
	Paths     []string
	// Every is the interval between two requests.
	Every time.Duration

	sent, failed atomic.Int64
	// ready holds the addresses of the gateways that have answered a request successfully.
	// Before that, a gateway may not know the configuration yet.
	ready sync.Map
}

// callerDeadline is the client timeout. It is longer than the longest stream of the emulated
// engines.
const callerDeadline = 10 * time.Second

// Run sends requests until the context ends, then waits for those in flight.
func (c *Callers) Run(ctx context.Context) {
	client := &http.Client{Timeout: callerDeadline}
	defer client.CloseIdleConnections()
	runEvery(ctx, c.Every, func(number int) { c.count(c.call(client, number)) })
}

// runEvery starts a call at each interval, numbered from 0, until the context ends. It returns when
// all have ended.
func runEvery(ctx context.Context, interval time.Duration, call func(number int)) {
	var wait sync.WaitGroup
	defer wait.Wait()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		wait.Go(func() { call(number) })
	}
}

// errNotReady is returned for requests to a gateway that has not answered successfully yet.
var errNotReady = errors.New("the gateway has not answered a request successfully yet")

// count records the outcome of a request. Requests to a gateway that is not ready yet are not
// counted.
func (c *Callers) count(err error) {
	if errors.Is(err, errNotReady) {
		return
	}
	c.sent.Add(1)
	if err != nil {
		c.failed.Add(1)
	}
}

// Counts returns the number of finished requests, and how many of them failed.
func (c *Callers) Counts() (sent, failed int64) {
	return c.sent.Load(), c.failed.Load()
}

func (c *Callers) call(client *http.Client, number int) error {
	gateway, round := number%len(c.Addresses), number/len(c.Addresses)
	address := c.Addresses[gateway]
	request, err := http.NewRequest(http.MethodPost, "http://"+address+c.Paths[round%len(c.Paths)], http.NoBody)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	request.Host = c.Host
	request.Header.Set("X-Attempt-Id", fmt.Sprintf("%s-%d", c.Key, number))
	request.Header.Set("X-Api-Key", c.Key)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(callerDeadline.Milliseconds()))
	if err := checkResponse(client.Do(request)); err != nil {
		if _, ready := c.ready.Load(address); !ready {
			return errNotReady
		}
		return err
	}
	c.ready.Store(address, true)
	return nil
}

// errUnframed is the error of a response that only the end of its connection would show to be complete.
var errUnframed = errors.New("the response has neither a length nor chunks")

// CheckFraming returns an error for a response that a gateway never sends to callers of HTTP 1.1, and of which
// they can't see whether it is complete.
func CheckFraming(response *http.Response) error {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return errUnframed
	}
	return nil
}

// checkResponse reads a response and returns an error unless it is complete and successful.
func checkResponse(response *http.Response, err error) error {
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer func() { _ = response.Body.Close() }()
	if err := CheckFraming(response); err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return errors.Wrap(err, "read response")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("status %d", response.StatusCode)
	}
	return nil
}
