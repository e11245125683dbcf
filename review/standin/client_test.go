//go:build review

package standin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// newRequest returns a request with what each of the platform's clients sends: its own attempt ID, the
// tenant's key (none on public routes), and how many milliseconds the client waits.
func newRequest(ctx context.Context, method, address, path, id, apiKey, body string, patience time.Duration) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Host = host
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(patience.Milliseconds(), 10))
	if apiKey != "" {
		request.Header.Set("X-Api-Key", apiKey)
	}
	return request, nil
}

// reader is a client that reads one stream, and takes it up again at the next gateway when it breaks
// off: it names the attempt that brought the first event, and the last event that it has. After a
// refusal it comes back after Retry-After, up to a third of the time that it has left.
type reader struct {
	bench *bench
	// name is unique, and body is that of the request.
	name, body string
	path       string
	// addresses are the gateways of the tries, in order.
	addresses []string
	// events is the number of events of the whole stream.
	events int
	// tries is how many requests the client sends at most, and patience how long it waits in all.
	tries    int
	patience time.Duration
	// silent leaves the client out of the record.
	silent bool

	// sent is the number of requests so far, and status that of the last answer; zero for none.
	sent, status int
	// first is the attempt that brought the first event, and last the number of the last event.
	first string
	last  int
	// versions are the software versions that wrote the events, without repeats in a row.
	versions []string
	// disordered means that an event was missing or came twice.
	disordered bool
	// resumed means that the client took the stream up again, and continued that it then went on.
	resumed, continued bool
}

// maxWaitShare is the part of its remaining time for which a client follows Retry-After.
const maxWaitShare = 3

// read reads the stream to its end, or until the client gives up.
func (r *reader) read() {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	began := time.Now()
	for try := range r.tries {
		left := r.patience - time.Since(began)
		if left <= 0 {
			return
		}
		wait := r.attempt(client, r.addresses[try%len(r.addresses)], fmt.Sprintf("%s-%d", r.name, try), left)
		if r.last == r.events {
			return
		}
		time.Sleep(min(wait, left/maxWaitShare))
	}
}

// attempt sends one request and reads its answer. It returns when the client may come back.
func (r *reader) attempt(client *http.Client, address, id string, left time.Duration) (wait time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	request, err := newRequest(ctx, http.MethodPost, address, r.path, id, key, r.body, left)
	if err != nil {
		return 0
	}
	before := r.last
	if r.first != "" {
		r.resumed = true
		request.Header.Set("Resumes", r.first)
		request.Header.Set("Last-Event-Id", strconv.Itoa(r.last))
	}
	r.note("%s sent to %s, from event %d on", id, address, before+1)
	r.sent, r.status = r.sent+1, 0
	response, err := client.Do(request)
	if err != nil {
		r.note("%s got no answer", id)
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	r.status = response.StatusCode
	if response.StatusCode != http.StatusOK {
		r.note("%s answered %d, Retry-After %q", id, response.StatusCode, response.Header.Get("Retry-After"))
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		return time.Duration(seconds * float64(time.Second))
	}
	whole := r.readEvents(response.Body, id)
	r.continued = r.continued || before > 0 && r.last > before
	r.note("%s answered 200 with events up to %d, ended as whole: %t, versions so far %v", id, r.last, whole, r.versions)
	return 0
}

// readEvents reads events until the answer ends, and reports whether it ended as a whole one.
func (r *reader) readEvents(body io.Reader, id string) bool {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		line := scanner.Text()
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			number, _ := strconv.Atoi(text)
			r.disordered = r.disordered || number != r.last+1
			r.last = number
			if r.first == "" {
				r.first = id
			}
		}
		if _, version, ok := strings.Cut(line, " of "); ok && (len(r.versions) == 0 || r.versions[len(r.versions)-1] != version) {
			r.versions = append(r.versions, version)
		}
	}
	return scanner.Err() == nil
}

// isMixed reports whether servers of more than one version wrote the events.
func (r *reader) isMixed() bool {
	return len(r.versions) > 1
}

func (r *reader) note(format string, args ...any) {
	if !r.silent {
		r.bench.note(format, args...)
	}
}

// readers are clients that run at the same time.
type readers struct {
	all  []*reader
	wait sync.WaitGroup
}

// start starts a client.
func (s *readers) start(r *reader) {
	s.all = append(s.all, r)
	s.wait.Go(r.read)
}

// count returns how many clients satisfy a condition, once all have ended.
func (s *readers) count(holds func(r *reader) bool) int {
	s.wait.Wait()
	found := 0
	for _, r := range s.all {
		if holds(r) {
			found++
		}
	}
	return found
}

// poller is a client that sends one request after another on a connection that it keeps open.
type poller struct {
	bench *bench
	// name is unique; apiKey is empty on a public route.
	name, path, apiKey string
	address            string
	// interval is the pause between an answer and the next request, and patience how long the client
	// waits for an answer.
	interval, patience time.Duration

	mu    sync.Mutex
	polls []poll
}

// poll is one request of a poller.
type poll struct {
	id     string
	sentAt time.Time
	// took is the time to the end of the answer, or to the end of the patience.
	took time.Duration
	// status is zero if there was no answer.
	status int
}

// run sends requests until the context ends. A request that is under way then is left out.
func (p *poller) run(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for number := 0; ctx.Err() == nil; number++ {
		result := p.send(ctx, client, fmt.Sprintf("%s-%d", p.name, number))
		if ctx.Err() != nil {
			return
		}
		p.bench.note("%s sent to %s at %.3f, answered %d after %.3f s", result.id, p.address, result.sentAt.Sub(p.bench.started).Seconds(), result.status, result.took.Seconds())
		p.mu.Lock()
		p.polls = append(p.polls, result)
		p.mu.Unlock()
		time.Sleep(p.interval)
	}
}

func (p *poller) send(ctx context.Context, client *http.Client, id string) poll {
	result := poll{id: id, sentAt: time.Now()}
	limited, cancel := context.WithTimeout(ctx, p.patience)
	defer cancel()
	defer func() { result.took = time.Since(result.sentAt) }()
	request, err := newRequest(limited, http.MethodGet, p.address, p.path, id, p.apiKey, "", p.patience)
	if err != nil {
		return result
	}
	response, err := client.Do(request)
	if err != nil {
		result.took = time.Since(result.sentAt)
		return result
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err == nil {
		result.status = response.StatusCode
	}
	result.took = time.Since(result.sentAt)
	return result
}

// sent returns the requests so far.
func (p *poller) sent() []poll {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]poll(nil), p.polls...)
}
