package emulator

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Notice is what a server announces about itself in the headers of its responses. Fields that
// are not set are not sent.
type Notice struct {
	// Leaving is sent with all responses.
	Leaving bool
	// RetryAfter is sent unchanged with each 503.
	RetryAfter string
}

// SentNotice is a notice that was sent with one response.
type SentNotice struct {
	Notice
	// Request is the ID of the request that was answered.
	Request string
	// At is when the response header was written.
	At time.Time
}

// SetNotice sets the notice for all further responses. Leaving can't be revoked: once set, it
// stays set.
func (s *Server) SetNotice(notice Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	notice.Leaving = notice.Leaving || s.notice.Leaving
	s.notice = notice
}

// SentNotices returns the notices sent so far, in order of time.
func (s *Server) SentNotices() []SentNotice {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.sentNotices)
}

// setNoticeHeaders adds the server's notice to the header of a response with the given status.
func (s *Server) setNoticeHeaders(header http.Header, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := SentNotice{Request: header.Get("X-Attempt-Id"), At: time.Now()}
	if s.notice.Leaving {
		header.Set("Server-Leaving", "1")
		sent.Leaving = true
	}
	if s.notice.RetryAfter != "" && status == http.StatusServiceUnavailable {
		header.Set("Retry-After", s.notice.RetryAfter)
		sent.RetryAfter = s.notice.RetryAfter
	}
	if sent.Notice != (Notice{}) {
		s.sentNotices = append(s.sentNotices, sent)
	}
}

// noticeHeaderLines returns the notice for a successful response as raw header lines.
func (s *Server) noticeHeaderLines(id string) string {
	header := http.Header{"X-Attempt-Id": {id}}
	s.setNoticeHeaders(header, http.StatusOK)
	header.Del("X-Attempt-Id")
	var lines strings.Builder
	_ = header.Write(&lines) // strings.Builder never returns an error
	return lines.String()
}

const (
	// leavingGrace is the time after a leaving notice during which the server may still get
	// requests from the gateway that received the notice.
	leavingGrace = 2 * time.Second
	// restGrace is the same for a Retry-After notice, and maxRestRequests is how many requests
	// may arrive from then until the requested time is over.
	restGrace       = 500 * time.Millisecond
	maxRestRequests = 2
)

// IgnoredNotice is a case in which a gateway did not act on a server's notice.
type IgnoredNotice struct {
	Server string
	// Gateway is the gateway that received the notice.
	Gateway string
	Notice  SentNotice
	// Late are the requests that the gateway should not have sent.
	Late []Run
}

// String describes the violation.
func (n IgnoredNotice) String() string {
	demand := "that it leaves"
	if !n.Notice.Leaving {
		demand = "to rest for " + n.Notice.RetryAfter + " s"
	}
	var late strings.Builder
	for _, run := range n.Late {
		fmt.Fprintf(&late, " %s after %v,", run.ID, run.At.Sub(n.Notice.At).Round(time.Millisecond))
	}
	return fmt.Sprintf("%s told %s %s in its answer to %s, and got %d requests after that:%s", n.Server, n.Gateway, demand, n.Notice.Request, len(n.Late), strings.TrimSuffix(late.String(), ","))
}

// IgnoredNotices returns the cases in which gateways did not act on the server's notices.
// gatewayOf returns the gateway to which a request was sent; requests for which it returns an
// empty string are left out. readAt returns when the gateway read the response with a notice;
// false if it never did, because it had closed the connection.
func (s *Server) IgnoredNotices(gatewayOf func(request string) string, readAt func(sent SentNotice) (time.Time, bool)) []IgnoredNotice {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ignored []IgnoredNotice
	for _, sent := range s.sentNotices {
		gateway := gatewayOf(sent.Request)
		read, wasRead := readAt(sent)
		if gateway == "" || !wasRead {
			continue
		}
		from, to, maxRequests := sent.limits(read)
		var late []Run
		for _, run := range s.runs {
			if gatewayOf(run.ID) == gateway && run.At.After(from) && run.At.Before(to) {
				late = append(late, run)
			}
		}
		if len(late) > maxRequests {
			ignored = append(ignored, IgnoredNotice{Server: s.options.ID, Gateway: gateway, Notice: sent, Late: late})
		}
	}
	return ignored
}

// farFuture is later than any event.
var farFuture = time.Unix(1<<40, 0)

// limits returns the time range in which no more than maxRequests requests may arrive, given
// when the gateway read the notice.
func (s SentNotice) limits(readAt time.Time) (from, to time.Time, maxRequests int) {
	if s.Leaving {
		return readAt.Add(leavingGrace), farFuture, 0
	}
	seconds, err := strconv.ParseFloat(s.RetryAfter, 64)
	if err != nil {
		return s.At, s.At, 0
	}
	return readAt.Add(restGrace), s.At.Add(time.Duration(seconds * float64(time.Second))), maxRestRequests
}
