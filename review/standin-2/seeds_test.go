//go:build review2

package standin2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	streamEvents = 40
	eventPause   = 150 * time.Millisecond
	streamLife   = 12 * time.Second
	streamCount  = 24
)

// engine answers a request with a stream, from behind the last event that its caller has.
func engine(s *server, c *serverConn, a *arrival) { streamEvery(s, c, a, streamEvents, eventPause) }

// streamEvery is engine with a number of events and a pause after each.
func streamEvery(s *server, c *serverConn, a *arrival, events int, pause time.Duration) {
	if a.isQuestion() {
		c.answer(s, a, 200, "X-Instance-Id: "+s.id+"\r\n", "{}")
		return
	}
	s.run(a)
	_, err := io.WriteString(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", a.id, s.stamp()))
	last, _ := strconv.Atoi(a.header.Get("Last-Event-Id"))
	for number := last + 1; err == nil && number <= events; number++ {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", number, s.version)
		_, err = io.WriteString(c, fmt.Sprintf("%x\r\n%s\r\n", len(event), event))
		time.Sleep(pause)
	}
	if err == nil {
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
}

// stream is a stream as its client has it.
type stream struct {
	id       string
	first    string
	last     int
	versions map[string]bool
	complete bool
	began    time.Time
	resumed  bool
	// triedInTouch means that it was taken up at a gateway in touch.
	triedInTouch bool
}

// read asks a gateway for the stream, or for its rest, and reads it to its end.
func (x *stream) read(g *gateway) (status int, retryAfter time.Duration, err error) {
	left := time.Until(x.began.Add(streamLife))
	conn, err := net.DialTimeout("tcp", g.callers, time.Second)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(left))
	head := fmt.Sprintf("POST /chat/%s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Api-Key: %s\r\nX-Deadline-Ms: %d\r\n", x.first, host, x.id, key, left.Milliseconds())
	if x.last > 0 {
		head += fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", x.last, x.first)
	}
	if _, err := io.WriteString(conn, head+"Content-Length: 4\r\n\r\nchat"); err != nil {
		return 0, 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, 0, err
	}
	if response.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		return response.StatusCode, time.Duration(seconds * float64(time.Second)), nil
	}
	lines := bufio.NewReader(response.Body)
	number := 0
	for {
		line, err := lines.ReadString('\n')
		if err == io.EOF {
			x.complete = x.last == streamEvents
			return http.StatusOK, 0, nil
		}
		if err != nil {
			return http.StatusOK, 0, err
		}
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			number, _ = strconv.Atoi(strings.TrimSpace(text))
		}
		if text, ok := strings.CutPrefix(line, "data: "); ok {
			x.versions[strings.TrimSpace(text)] = true
		}
		if line == "\n" {
			x.last = number
		}
	}
}

// addEngines starts two servers of each of two versions.
func (r *rig) addEngines(handle handler) error {
	for i := range 4 {
		s, err := r.addServer(engineService, fmt.Sprintf("e-%d", i), handle)
		if err != nil {
			return err
		}
		s.mu.Lock()
		s.slots, s.version = 64, []string{"v1", "v2"}[i%2]
		s.mu.Unlock()
		s.list()
	}
	return nil
}

// seeds has a machine join whose settings name machines that have left, and the other one killed while it
// sends streams.
func seeds(r *rig, trouble bool) (string, error) {
	r.configure(configOf(3))
	if err := r.addEngines(engine); err != nil {
		return "", err
	}
	// Four machines start. The settings of all machines name the first three as seeds.
	if err := r.addGateways(maxSeeds + 1); err != nil {
		return "", err
	}
	named := r.gateways[:maxSeeds]
	time.Sleep(2 * time.Second)
	gone := named
	if !trouble {
		gone = named[1:]
	}
	for _, g := range gone {
		g.signal(syscall.SIGTERM)
	}
	for _, g := range gone {
		<-g.done
		// Nobody else may get the address while the case is played.
		held, err := net.ListenPacket("udp", g.peers)
		if err != nil {
			return "", err
		}
		defer func() { _ = held.Close() }()
	}
	r.note("%d of the three machines that are named as seeds have left for good, as planned", len(gone))
	// A spare machine joins.
	if err := r.addGateways(1); err != nil {
		return "", err
	}
	begins, takes := r.gateways[maxSeeds], r.gateways[maxSeeds+1]
	time.Sleep(4 * time.Second)
	// Their settings then name machines that run.
	for _, g := range []*gateway{begins, takes} {
		if err := g.writeSettings([]string{begins.peers, takes.peers}); err != nil {
			return "", err
		}
		g.signal(syscall.SIGHUP)
	}
	time.Sleep(12 * time.Second)
	var wait sync.WaitGroup
	streams := make([]*stream, streamCount)
	for i := range streams {
		x := &stream{id: fmt.Sprintf("s%d-1", i), first: fmt.Sprintf("s%d-1", i), versions: map[string]bool{}, began: time.Now()}
		streams[i] = x
		wait.Go(func() {
			status, _, err := x.read(begins)
			r.note("client: %s at %s -> %d, has event %d (%v)", x.id, begins.name, status, x.last, err)
			for try := 2; !x.complete && x.last > 0 && time.Until(x.began.Add(streamLife)) > 500*time.Millisecond && try <= 6; try++ {
				x.id = fmt.Sprintf("%s.%d", x.first, try)
				before := x.last
				status, after, err := x.read(takes)
				r.note("client: %s takes %s up behind event %d at %s -> %d, has event %d (%v)", x.id, x.first, before, takes.name, status, x.last, err)
				if x.last > before {
					x.resumed = true
				}
				if status != http.StatusOK {
					time.Sleep(max(min(after, time.Until(x.began.Add(streamLife))/3), 50*time.Millisecond))
				}
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	begins.signal(syscall.SIGKILL)
	time.Sleep(300 * time.Millisecond)
	fresh := make([]*stream, 12)
	for i := range fresh {
		x := &stream{id: fmt.Sprintf("n%d-1", i), first: fmt.Sprintf("n%d-1", i), versions: map[string]bool{}, began: time.Now()}
		fresh[i] = x
		wait.Go(func() { _, _, _ = x.read(takes) })
	}
	wait.Wait()
	taken, on, begun, mixed := 0, 0, 0, 0
	for _, x := range streams {
		if x.first != x.id {
			taken++
		}
		if x.resumed {
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
	r.note("%d streams were taken up again at %s, %d of them went on, %d hold events of two versions; %d of %d new streams began there", taken, takes.name, on, mixed, begun, len(fresh))
	if taken < 12 || begun == 0 {
		return "", fmt.Errorf("too few streams: %d taken up, %d begun", taken, begun)
	}
	if float64(on)/float64(taken) < float64(begun)/float64(len(fresh))/2 {
		return fmt.Sprintf("LOST: %d of %d streams that clients took up again went on", on, taken), nil
	}
	return "", nil
}
