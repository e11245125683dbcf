package emulator

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Says is what a server says of itself in its answers. Whatever is not set is not said.
type Notice struct {
	// Leaving stands in all answers.
	Leaving bool
	// RetryAfter goes with each 503, as it is.
	RetryAfter string
}

// Said is one answer in which a server said something of itself.
type SentNotice struct {
	Notice
	// Request is the id of the request that was answered.
	Request string
	// At is when the answer's head was made.
	At time.Time
}

// Say sets what the server says of itself from now on. Once it has said that it leaves, it goes on
// saying so.
func (s *Server) SetNotice(says Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	says.Leaving = says.Leaving || s.says.Leaving
	s.says = says
}

// Said is what the server has said of itself so far, in the order of time.
func (s *Server) SentNotices() []SentNotice {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.said)
}

// sayIn sets the header of an answer with a status.
func (s *Server) sayIn(header http.Header, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	said := SentNotice{Request: header.Get("X-Attempt-Id"), At: time.Now()}
	if s.says.Leaving {
		header.Set("Server-Leaving", "1")
		said.Leaving = true
	}
	if s.says.RetryAfter != "" && status == http.StatusServiceUnavailable {
		header.Set("Retry-After", s.says.RetryAfter)
		said.RetryAfter = s.says.RetryAfter
	}
	if said.Notice != (Notice{}) {
		s.said = append(s.said, said)
	}
}

// sayRaw is what the server says of itself in a successful answer, as lines of its head.
func (s *Server) sayRaw(id string) string {
	header := http.Header{"X-Attempt-Id": {id}}
	s.sayIn(header, http.StatusOK)
	header.Del("X-Attempt-Id")
	var lines strings.Builder
	_ = header.Write(&lines) // a builder takes everything
	return lines.String()
}

const (
	// leavingGrace is how long after a server has said that it leaves it may still get
	// requests from the gateway that it told.
	leavingGrace = 2 * time.Second
	// restGrace is the same for one that has asked for rest, and restMost is how many
	// requests it may get from then to the end of that rest.
	restGrace = 500 * time.Millisecond
	restMost  = 2
)

// Disregard is a case in which a gateway went on as if a server had said nothing.
type IgnoredNotice struct {
	Server string
	// Gateway is the one that was told, by Said.
	Gateway string
	Notice    SentNotice
	// Late are the ids of the requests that should not have come from it.
	Late []string
}

// String says what is wrong.
func (d IgnoredNotice) String() string {
	asked := "that it leaves"
	if !d.Notice.Leaving {
		asked = "to rest for " + d.Notice.RetryAfter + " s"
	}
	return fmt.Sprintf("%s told %s %s, and got %d requests after that", d.Server, d.Gateway, asked, len(d.Late))
}

// Disregarded are the cases in which gateways went on as if a server had said nothing.
// gatewayOf is the gateway to which a request's caller sent it; empty leaves it out.
func (s *Server) IgnoredNotices(gatewayOf func(request string) string) []IgnoredNotice {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []IgnoredNotice
	for _, said := range s.said {
		told := gatewayOf(said.Request)
		from, to, most := said.bounds()
		if told == "" || !from.Before(to) {
			continue
		}
		var late []string
		for _, run := range s.runs {
			if gatewayOf(run.ID) == told && run.At.After(from) && run.At.Before(to) {
				late = append(late, run.ID)
			}
		}
		if len(late) > most {
			found = append(found, IgnoredNotice{Server: s.options.ID, Gateway: told, Notice: said, Late: late})
		}
	}
	return found
}

// forever is a time after which nothing happens.
var forever = time.Unix(1<<40, 0)

// bounds are between which times no more than so many requests may come.
func (s SentNotice) bounds() (from, to time.Time, most int) {
	if s.Leaving {
		return s.At.Add(leavingGrace), forever, 0
	}
	seconds, err := strconv.ParseFloat(s.RetryAfter, 64)
	if err != nil {
		return s.At, s.At, 0
	}
	return s.At.Add(restGrace), s.At.Add(time.Duration(seconds * float64(time.Second))), restMost
}
