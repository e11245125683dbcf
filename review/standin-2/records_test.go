//go:build review2

package standin2

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// lateShare is the largest part of the writes that the store does late, lateDelay how late it does them (the
	// pages say 1 to 6 s), and lateFor how long that lasts.
	lateShare = 0.35
	lateDelay = 1500 * time.Millisecond
	lateFor   = 4500 * time.Millisecond
	// longPause is the pause between the events of streams that last nearly as long as their clients wait.
	longPause = 280 * time.Millisecond
	// burstStreams begin together, streamGap apart, right after the first write of a key of records; there are
	// bursts of them.
	burstStreams = 10
	bursts       = 3
	streamGap    = 20 * time.Millisecond
	// Other streams, shortGap apart, end by themselves soon. shortLead is how long they come before.
	shortGap    = 140 * time.Millisecond
	shortEvents = 6
	shortLead   = 2 * time.Second
	leadTime    = 800 * time.Millisecond
	// touchTime is the time without disruption after which machines are in touch, contact_ms.
	touchTime = 3 * time.Second
	// startPause is how long the platform takes to start a process again.
	startPause = 500 * time.Millisecond
)

// lateStore answers for the store. For a while it does some writes late, and doesn't answer them: the first ones of
// their keys in a while.
type lateStore struct {
	rig *rig

	mu     sync.Mutex
	until  time.Time
	writes int
	late   int
	// trouble means that writes are done late; without it they are counted only.
	trouble bool
	// seen are the keys of records that were written since begin, and first gets a value for the first write of
	// each that may be late.
	seen  map[string]bool
	first chan struct{}
}

// ServeHTTP serves a call to the store.
func (l *lateStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/capersaddle/kv-txn" {
		l.rig.store.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if key := keyOf(body); l.isLate(key) {
		l.rig.note("store: a write of %s (%d bytes) gets no answer", key, len(body))
		time.AfterFunc(lateDelay, func() { l.do(key, body) })
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	l.rig.store.ServeHTTP(w, r)
}

// keyOf returns the key that a write puts first.
func keyOf(body []byte) string {
	var write struct {
		Put []struct {
			Key string `json:"private_key"`
		} `json:"put"`
	}
	if json.Unmarshal(body, &write) != nil || len(write.Put) == 0 {
		return ""
	}
	return write.Put[0].Key
}

// isLate counts a write and reports whether it is done late: the first one of a key of records.
func (l *lateStore) isLate(key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().After(l.until) {
		return false
	}
	l.writes++
	if !strings.HasPrefix(key, "capersaddle/streams/") || l.seen[key] {
		return false
	}
	l.seen[key] = true
	if float64(l.late+1) > lateShare*float64(l.writes) {
		return false
	}
	l.late++
	select {
	case l.first <- struct{}{}:
	default:
	}
	return l.trouble
}

// do does a late write.
func (l *lateStore) do(key string, body []byte) {
	request := httptest.NewRequest(http.MethodPost, "/capersaddle/kv-txn", bytes.NewReader(body))
	answer := httptest.NewRecorder()
	l.rig.store.ServeHTTP(answer, request)
	l.rig.note("store: the write of %s is done, %v after it was sent: %d", key, lateDelay, answer.Code)
}

// begin begins the trouble, or without it only the count.
func (l *lateStore) begin(trouble bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until, l.trouble, l.seen = time.Now().Add(lateFor), trouble, make(map[string]bool)
	if trouble {
		l.rig.note("store: some writes get no answer from now on, and are done late")
	}
}

// longEngine is engine with longer streams, but for those whose paths say otherwise.
func longEngine(s *server, c *serverConn, a *arrival) {
	if strings.HasPrefix(a.target, "/chat/short-") {
		streamEvery(s, c, a, shortEvents, longPause)
		return
	}
	streamEvery(s, c, a, streamEvents, longPause)
}

// shortStreams begins streams that end by themselves soon.
func (r *rig) shortStreams(stop <-chan struct{}, wait *sync.WaitGroup) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(shortGap):
		}
		wait.Go(func() {
			id := fmt.Sprintf("short-%d", i)
			x := &stream{id: id, first: id, versions: map[string]bool{}, began: time.Now()}
			_, _, _ = x.read(r.gateways[i%3])
		})
	}
}

// drain takes what a channel holds.
func drain(values <-chan struct{}) {
	for {
		select {
		case <-values:
		default:
			return
		}
	}
}

// records has the store do some writes of records of streams late, and all gateways killed at the same moment then.
func records(r *rig, trouble bool) (string, error) {
	r.configure(configOf(3))
	if err := r.addEngines(longEngine); err != nil {
		return "", err
	}
	if err := r.addGateways(3); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	var wait sync.WaitGroup
	stopShort := make(chan struct{})
	wait.Go(func() { r.shortStreams(stopShort, &wait) })
	time.Sleep(shortLead)
	r.front.begin(trouble)
	time.Sleep(leadTime)
	var inTouch time.Time
	var mu sync.Mutex
	isInTouch := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return !inTouch.IsZero() && time.Now().After(inTouch)
	}
	var streams []*stream
	end := time.After(lateFor - leadTime)
	drain(r.front.first)
	for len(streams) < bursts*burstStreams {
		select {
		case <-r.front.first:
		case <-end:
			return "", fmt.Errorf("too few writes of records")
		}
		for range burstStreams {
			i := len(streams)
			x := &stream{id: fmt.Sprintf("s%d-1", i), first: fmt.Sprintf("s%d-1", i), versions: map[string]bool{}, began: time.Now()}
			streams = append(streams, x)
			wait.Go(func() {
				status, _, err := x.read(r.gateways[i%3])
				r.note("client: %s at %s -> %d, has event %d (%v)", x.id, r.gateways[i%3].name, status, x.last, err)
				x.takeUp(r, i, isInTouch)
			})
			time.Sleep(streamGap)
		}
	}
	close(stopShort)
	time.Sleep(lateDelay + 700*time.Millisecond)
	r.note("all gateways are killed at the same moment; %d of %d writes were first ones of their keys", r.front.late, r.front.writes)
	for _, g := range r.gateways {
		g.signal(syscall.SIGKILL)
	}
	for _, g := range r.gateways {
		<-g.done
	}
	time.Sleep(startPause)
	for _, g := range r.gateways {
		if err := g.start(); err != nil {
			return "", err
		}
	}
	mu.Lock()
	inTouch = time.Now().Add(touchTime)
	mu.Unlock()
	time.Sleep(touchTime + time.Second)
	fresh := make([]*stream, 12)
	for i := range fresh {
		x := &stream{id: fmt.Sprintf("n%d-1", i), first: fmt.Sprintf("n%d-1", i), versions: map[string]bool{}, began: time.Now()}
		fresh[i] = x
		wait.Go(func() { _, _, _ = x.read(r.gateways[i%3]) })
	}
	wait.Wait()
	taken, on, begun, mixed := 0, 0, 0, 0
	for _, x := range streams {
		if x.triedInTouch {
			taken++
		}
		if x.triedInTouch && x.resumed {
			on++
		}
		if len(x.versions) > 1 {
			mixed++
		}
	}
	for _, x := range fresh {
		if x.last > 0 {
			begun++
		}
	}
	r.note("%d streams were taken up again at gateways in touch, %d of them went on, %d hold events of two versions; %d of %d new streams began", taken, on, mixed, begun, len(fresh))
	if taken < 12 || begun == 0 {
		return "", fmt.Errorf("too few streams: %d taken up, %d begun", taken, begun)
	}
	if float64(on)/float64(taken) < float64(begun)/float64(len(fresh))/2 {
		return fmt.Sprintf("LOST: %d of %d streams that clients took up again went on", on, taken), nil
	}
	return "", nil
}

// takeUp takes the stream up again at each gateway in turn, at gateways in touch only, until it is complete or its
// client no longer waits.
func (x *stream) takeUp(r *rig, number int, isInTouch func() bool) {
	const tries = 6
	for try := 2; !x.complete && x.last > 0 && time.Until(x.began.Add(streamLife)) > 500*time.Millisecond && try <= tries; {
		if !isInTouch() {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		x.triedInTouch = true
		g := r.gateways[(number+try)%3]
		x.id = fmt.Sprintf("%s.%d", x.first, try)
		before := x.last
		status, after, err := x.read(g)
		r.note("client: %s takes %s up behind event %d at %s -> %d, has event %d (%v)", x.id, x.first, before, g.name, status, x.last, err)
		x.resumed = x.resumed || x.last > before
		if status != http.StatusOK {
			time.Sleep(max(min(after, time.Until(x.began.Add(streamLife))/3), 50*time.Millisecond))
		}
		try++
	}
}
