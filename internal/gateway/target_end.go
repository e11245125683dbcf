package gateway

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/capersaddle/capersaddle/internal/quarantine"
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

// maxEndParts limits the parts in the description of an end.
const maxEndParts = 16

// partCounts counts the requests that were in flight at a target, by the parts of their prompts.
type partCounts struct {
	requests int
	byPart   map[string]int
	// prompts are the parts by workspace, each once.
	prompts []workspacePart
}

// workspacePart is a part in the prompts of a workspace.
type workspacePart struct {
	fingerprint quarantine.Fingerprint
	workspace   quarantine.Workspace
}

func (p *partCounts) add(lost lostRequest) {
	p.requests++
	if p.byPart == nil {
		p.byPart = make(map[string]int)
	}
	for _, part := range lost.parts {
		p.byPart[part]++
	}
	for _, fingerprint := range lost.prompt.Parts {
		part := workspacePart{fingerprint, lost.prompt.Workspace}
		if !slices.Contains(p.prompts, part) {
			p.prompts = append(p.prompts, part)
		}
	}
}

// targetEnd describes the end of the target.
func (p *partCounts) targetEnd(target string, table *quarantine.Table, now time.Time) TargetEnd {
	byCount := func(a, b string) int { return cmp.Or(cmp.Compare(p.byPart[b], p.byPart[a]), cmp.Compare(a, b)) }
	ids := slices.SortedFunc(maps.Keys(p.byPart), byCount)
	end := TargetEnd{Target: target, Requests: p.requests}
	for _, id := range ids[:min(len(ids), maxEndParts)] {
		ago := table.PartAnsweredAgo(quarantine.PartFingerprint(id), now)
		end.Parts = append(end.Parts, EndPart{ID: id, Requests: p.byPart[id], AnsweredAgo: ago})
	}
	return end
}
