package emulator

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// StreamCounts counts what the callers of streams have seen.
type StreamCounts struct {
	// Begun counts streams of which an event arrived, and Complete those that arrived whole.
	Begun, Complete int
	// Mixed counts streams with events of two versions, and MixedAnswers those of them in which
	// one response holds events of two versions.
	Mixed, MixedAnswers int
	// Disordered counts streams that missed an event or got one twice.
	Disordered int
	// Resumed counts streams that their callers resumed, and Continued those of them that went on.
	Resumed, Continued int
	// OldestEnded is the greatest age that a stream had when it broke off first, of those that were
	// resumed and did not go on.
	OldestEnded time.Duration
}

// StreamCallers request streams at a fixed interval, round robin over gateways. A caller resumes a
// stream that breaks off, at the next gateway. Its servers must put their version into events.
type StreamCallers struct {
	// Addresses returns the addresses at which the gateways serve callers, IP:port. Callers wait while there
	// are none.
	Addresses func() []string
	Host      string
	Key       string
	Path      string
	// Events is the number of events in a complete stream.
	Events int
	// Every is the interval between two streams.
	Every time.Duration
	// LoseEvery makes callers lose the connection of every so many-th stream in its middle, once;
	// zero means never.
	LoseEvery int
	// Choose returns the address for an attempt at a stream, both numbered from 0; nil means round robin
	// over Addresses.
	Choose func(number, attempt int) string
	// Observe is called with the attempts at each stream that has ended, in order; may be nil.
	Observe func(attempts []StreamAttempt)

	mu     sync.Mutex
	counts StreamCounts
	// mixed holds the attempts at the streams that have events of two versions.
	mixed [][]StreamAttempt
	// resumed are the streams that their callers resumed.
	resumed []*callerStream
}

// StreamAttempt is one request of a caller for a stream.
type StreamAttempt struct {
	ID string
	// Address is the address of the gateway.
	Address string
	// Resumes reports whether the request resumes the stream.
	Resumes bool
	SentAt  time.Time
	// Status is zero if no response arrived.
	Status int
	// Versions are the versions of the events that arrived, each once, in the order of their first events.
	Versions []string
}

// maxStreamAttempts bounds the requests of a caller for one stream.
const maxStreamAttempts = 3

// Run requests streams until the context ends, then waits for those in flight.
func (c *StreamCallers) Run(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callerDeadline}
	runEvery(ctx, c.Every, func(number int) { c.record(c.read(client, number)) })
}

// Counts returns what the callers have seen in the streams that have ended.
func (c *StreamCallers) Counts() StreamCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// Mixed returns the attempts at each stream that has events of two versions.
func (c *StreamCallers) Mixed() [][]StreamAttempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.mixed)
}

// ResumedFrom counts the streams that began with an answer of the given stamps and that their callers resumed,
// and those of them that went on.
func (c *StreamCallers) ResumedFrom(stamped func(stamp string) bool) (resumed, continued int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, stream := range c.resumed {
		if !stamped(stream.stamp) {
			continue
		}
		resumed++
		if stream.continued {
			continued++
		}
	}
	return resumed, continued
}

// callerStream is what one caller has received of its stream.
type callerStream struct {
	// id is the ID of the attempt that brought the first event; empty before that.
	id string
	// stamp is the stamp of the response that brought the first event.
	stamp string
	// last is the number of the last event.
	last int
	// versions are the versions of the events.
	versions map[string]bool
	// mixedAnswer is set if one response had events of two versions.
	mixedAnswer bool
	disordered  bool
	resumed     bool
	continued   bool
	// began is when the first event arrived, and brokeOff when the stream first broke off after it.
	began, brokeOff time.Time
	// mayLose is the number of events after which the caller loses its connection; zero for never.
	mayLose int
	// attempts are the requests sent so far.
	attempts []StreamAttempt
}

func (c *StreamCallers) record(stream *callerStream) {
	if c.Observe != nil {
		c.Observe(stream.attempts)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	add := func(count *int, holds bool) {
		if holds {
			*count++
		}
	}
	add(&c.counts.Begun, stream.id != "")
	add(&c.counts.Complete, stream.last == c.Events)
	add(&c.counts.Mixed, len(stream.versions) > 1)
	add(&c.counts.MixedAnswers, stream.mixedAnswer)
	add(&c.counts.Disordered, stream.disordered)
	add(&c.counts.Resumed, stream.resumed)
	add(&c.counts.Continued, stream.continued)
	if stream.resumed {
		c.resumed = append(c.resumed, stream)
	}
	if len(stream.versions) > 1 {
		c.mixed = append(c.mixed, stream.attempts)
	}
	if stream.resumed && !stream.continued {
		c.counts.OldestEnded = max(c.counts.OldestEnded, stream.brokeOff.Sub(stream.began))
	}
}

// read reads one stream, and resumes it if it breaks off.
func (c *StreamCallers) read(client *http.Client, number int) *callerStream {
	stream := &callerStream{versions: make(map[string]bool)}
	if c.LoseEvery > 0 && number%c.LoseEvery == 0 {
		stream.mayLose = c.Events / 2
	}
	for attempt := range maxStreamAttempts {
		id := fmt.Sprintf("%s-%d-%d", c.Key, number, attempt)
		address := c.choose(number, attempt)
		if address == "" {
			return stream
		}
		request, err := http.NewRequest(http.MethodPost, "http://"+address+c.Path, http.NoBody)
		if err != nil {
			return stream
		}
		c.setHeaders(request, id, number, stream)
		stream.attempts = append(stream.attempts, StreamAttempt{ID: id, Address: address, Resumes: stream.resumed, SentAt: time.Now()})
		wait, err := stream.readResponse(client, request, id)
		if err == nil || stream.last == c.Events {
			return stream
		}
		if stream.id != "" && stream.brokeOff.IsZero() {
			stream.brokeOff = time.Now()
		}
		time.Sleep(wait)
	}
	return stream
}

// choose returns the address for an attempt; empty if no gateway serves for long.
func (c *StreamCallers) choose(number, attempt int) string {
	if c.Choose != nil {
		return c.Choose(number, attempt)
	}
	addresses := c.awaitAddresses()
	if len(addresses) == 0 {
		return ""
	}
	return addresses[(number+attempt)%len(addresses)]
}

// awaitAddresses returns the addresses of the gateways that serve. While there are none, it waits, as long
// as callers do.
func (c *StreamCallers) awaitAddresses() []string {
	for began := time.Now(); time.Since(began) < callerDeadline; time.Sleep(addressInterval) {
		if addresses := c.Addresses(); len(addresses) > 0 {
			return addresses
		}
	}
	return nil
}

// addressInterval is the time between two looks for a gateway that serves.
const addressInterval = 20 * time.Millisecond

func (c *StreamCallers) setHeaders(request *http.Request, id string, number int, stream *callerStream) {
	request.Host = c.Host
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Api-Key", c.Key)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(callerDeadline.Milliseconds()))
	request.Header.Set("X-Prompt-Prefix", fmt.Sprintf("%x:200,%x:10", number+1, number+1))
	if stream.last == 0 {
		return
	}
	stream.resumed = true
	request.Header.Set("Resumes", stream.id)
	request.Header.Set("Last-Event-Id", strconv.Itoa(stream.last))
}

// errLostByCaller is returned for a response whose connection the caller lost.
var errLostByCaller = errors.New("the caller lost its connection")

// readResponse reads one response. It returns an error unless the response is complete, and how
// long to wait before another request.
func (s *callerStream) readResponse(client *http.Client, request *http.Request, id string) (wait time.Duration, err error) {
	response, err := client.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "send request")
	}
	defer func() { _ = response.Body.Close() }()
	s.attempts[len(s.attempts)-1].Status = response.StatusCode
	if err := CheckFraming(response); err != nil {
		return 0, err
	}
	if response.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		return time.Duration(seconds * float64(time.Second)), errors.Newf("status %d", response.StatusCode)
	}
	if s.id == "" {
		s.stamp = response.Header.Get("X-Server-Stamp")
	}
	return 0, s.readEvents(response.Body, id)
}

func (s *callerStream) readEvents(body io.Reader, id string) error {
	seen := make(map[string]bool)
	reader := bufio.NewReader(body)
	event := ""
	for {
		line, err := reader.ReadString('\n')
		if errors.Is(err, io.EOF) && line == "" && event == "" {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read response")
		}
		if line != "\n" {
			event += line
			continue
		}
		s.take(event, id, seen)
		s.mixedAnswer = s.mixedAnswer || len(seen) > 1
		event = ""
		if s.mayLose > 0 && s.last >= s.mayLose {
			s.mayLose = 0
			return errLostByCaller
		}
	}
}

// take records one complete event, without its blank line.
func (s *callerStream) take(event, id string, seen map[string]bool) {
	number, version, ok := parseEvent(event)
	s.disordered = s.disordered || !ok || number != s.last+1
	s.continued = s.continued || s.resumed
	if s.id == "" {
		s.id, s.began = id, time.Now()
	}
	s.last = number
	if current := &s.attempts[len(s.attempts)-1]; !seen[version] {
		current.Versions = append(current.Versions, version)
	}
	s.versions[version], seen[version] = true, true
}

// versionedEvent returns the text of one event of a server that puts its version into events.
func versionedEvent(number int, version string) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", number, number, version)
}

// parseEvent returns the number and the version of such an event.
func parseEvent(text string) (number int, version string, ok bool) {
	read, err := fmt.Sscanf(strings.ReplaceAll(text, "\n", " "), "id: %d data: piece %d of %s", new(int), &number, &version)
	return number, version, err == nil && read == 3
}
