package gateway

import (
	"cmp"
	"maps"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// TargetEnd describes the unplanned end of a target as this gateway saw it.
type TargetEnd struct {
	Target string
	// Requests is how many requests of this gateway were in flight there.
	Requests int
	// Parts are the parts of their prompts that other requests may share, those of the most requests
	// first, at most maxEndParts.
	Parts []EndPart
}

// EndPart is a part of the prompts that were in flight at a target when it ended.
type EndPart struct {
	ID       string
	Requests int
	// AnsweredAgo is how long before the end this gateway last got a whole answer to a request with
	// the part; negative if there was none for a while.
	AnsweredAgo time.Duration
}

const (
	// maxEndParts limits the parts in the description of an end.
	maxEndParts = 16
	// maxAnsweredParts limits the parts of which the last answer is remembered.
	maxAnsweredParts = 4096
)

// partCounts counts the requests that were in flight at a target, by the parts of their prompts.
type partCounts struct {
	requests int
	byPart   map[string]int
}

func (p *partCounts) add(parts []string) {
	p.requests++
	if p.byPart == nil {
		p.byPart = make(map[string]int)
	}
	for _, part := range parts {
		p.byPart[part]++
	}
}

// targetEnd describes the end of the target.
func (p *partCounts) targetEnd(target string, answered answeredParts, now time.Time) TargetEnd {
	byCount := func(a, b string) int { return cmp.Or(cmp.Compare(p.byPart[b], p.byPart[a]), cmp.Compare(a, b)) }
	ids := slices.SortedFunc(maps.Keys(p.byPart), byCount)
	end := TargetEnd{Target: target, Requests: p.requests}
	for _, id := range ids[:min(len(ids), maxEndParts)] {
		end.Parts = append(end.Parts, EndPart{ID: id, Requests: p.byPart[id], AnsweredAgo: answered.ago(id, now)})
	}
	return end
}

// answeredParts remembers when parts of prompts were last in a request that was answered completely.
// It is safe for concurrent use.
type answeredParts struct {
	times *lru.Cache[string, time.Time]
}

func newAnsweredParts() answeredParts {
	times, err := lru.New[string, time.Time](maxAnsweredParts)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return answeredParts{times: times}
}

func (a answeredParts) record(parts []string, now time.Time) {
	for _, part := range parts {
		a.times.Add(part, now)
	}
}

// ago returns how long ago a part was answered; negative if that isn't known.
func (a answeredParts) ago(part string, now time.Time) time.Duration {
	at, ok := a.times.Peek(part)
	if !ok {
		return -1
	}
	return now.Sub(at)
}
