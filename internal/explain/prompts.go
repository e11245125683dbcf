package explain

import (
	"cmp"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/capersaddle/capersaddle/internal/gateway"
	"github.com/capersaddle/capersaddle/internal/observe"
)

// PromptUse sums up the shared parts of prompts that targets got in one way.
type PromptUse struct {
	Origin string `json:"how"`
	Parts  int    `json:"parts"`
	Tokens int    `json:"tokens"`
}

// The ways in which a target gets a shared part of a prompt, as far as logs tell.
const (
	promptHeld    = "held by the target"
	promptFetched = "fetched from a target that held it"
	promptFirst   = "read for the first time"
	promptBeside  = "read beside its first reading"
	promptWrong   = "read again: the named source did not hold it"
	promptUnnamed = "read again: no source was named"
	promptLost    = "read again: no target that held it answers any more"
)

// use is one prompt at the target that answered.
type use struct {
	at     time.Time
	first  time.Time
	target string
	source string
	parts  []part
}

// part is one shared part of a prompt.
type part struct {
	id     string
	tokens int
}

// promptUses says how the shared parts of prompts came to the targets that
// answered. Requests without a line are unknown to it: what they had read counts
// as read for the first time when it is read again.
func promptUses(lines []Line) []PromptUse {
	uses, addresses, last := readUses(lines)
	held := make(map[string]map[string]time.Time)
	sums := make(map[string]*PromptUse)
	for _, known := range uses {
		source := addresses.at(known.source, known.at)
		for _, shared := range known.parts {
			how := known.how(held[shared.id], source, last)
			if sums[how] == nil {
				sums[how] = &PromptUse{Origin: how}
			}
			sums[how].Parts++
			sums[how].Tokens += shared.tokens
		}
		for _, shared := range known.parts {
			noteHeld(held, shared.id, known)
		}
	}
	result := make([]PromptUse, 0, len(sums))
	for _, sum := range sums {
		result = append(result, *sum)
	}
	slices.SortFunc(result, func(a, b PromptUse) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Origin, b.Origin))
	})
	return result
}

// noteHeld notes that a target holds a part once it has answered.
func noteHeld(held map[string]map[string]time.Time, id string, known use) {
	if held[id] == nil {
		held[id] = make(map[string]time.Time)
	}
	if since, ok := held[id][known.target]; !ok || known.first.Before(since) {
		held[id][known.target] = known.first
	}
}

// how says how a part came to the target, from the targets that hold it since
// some time, the named source, and when each target answered last.
func (u use) how(holders map[string]time.Time, source string, last map[string]time.Time) string {
	ready := func(target string) bool {
		since, ok := holders[target]
		return ok && !since.After(u.at)
	}
	switch {
	case ready(u.target):
		return promptHeld
	case len(holders) == 0:
		return promptFirst
	case ready(source):
		return promptFetched
	}
	read, alive := false, false
	for target := range holders {
		read = read || ready(target)
		alive = alive || ready(target) && !last[target].Before(u.at)
	}
	switch {
	case !read:
		return promptBeside
	case !alive:
		return promptLost
	case u.source == "":
		return promptUnnamed
	}
	return promptWrong
}

// life is one target at an address, seen from some time on.
type life struct {
	from   time.Time
	target string
}

// lives are the targets at each address, in order of time.
type lives map[string][]life

// at is the target at an address at a time; empty if none is known.
func (l lives) at(address string, when time.Time) string {
	found := ""
	for _, known := range l[address] {
		if !known.from.After(when) {
			found = known.target
		}
	}
	return found
}

// attemptPattern reads one attempt of a request's line: target, address, outcome
// and details.
var attemptPattern = regexp.MustCompile(`(\S+?)@(\S+?)=(\w+)\(([^)]*)\)`)

// readUses gathers the answered prompts in order of time, the targets at each
// address, and when each target answered last.
func readUses(lines []Line) (uses []use, addresses lives, last map[string]time.Time) {
	addresses, last = make(lives), make(map[string]time.Time)
	for _, line := range lines {
		known, address, ok := readUse(line)
		if !ok {
			continue
		}
		uses = append(uses, known)
		addresses[address] = append(addresses[address], life{from: known.at, target: known.target})
		if known.first.After(last[known.target]) {
			last[known.target] = known.first
		}
	}
	slices.SortStableFunc(uses, func(a, b use) int { return a.at.Compare(b.at) })
	for address := range addresses {
		slices.SortStableFunc(addresses[address], func(a, b life) int { return a.from.Compare(b.from) })
	}
	return uses, addresses, last
}

// readUse reads the prompt of an answered request and the target that answered.
func readUse(line Line) (known use, address string, ok bool) {
	if line.Event != observe.EventRequest || line.Ending != gateway.EndingAnswered {
		return use{}, "", false
	}
	ended, err := time.Parse(time.RFC3339Nano, line.Time)
	attempts := attemptPattern.FindAllStringSubmatch(line.Attempts, -1)
	parts := sharedParts(line.Prompt)
	if err != nil || len(attempts) == 0 || len(parts) == 0 {
		return use{}, "", false
	}
	answered := attempts[len(attempts)-1]
	details := detailsOf(answered[4])
	took, err := strconv.Atoi(details["took_ms"])
	if err != nil {
		return use{}, "", false
	}
	arrived := ended.Add(-time.Duration(line.TookMs) * time.Millisecond)
	known = use{
		at:     ended.Add(-time.Duration(took) * time.Millisecond),
		first:  arrived.Add(time.Duration(line.FirstMs) * time.Millisecond),
		target: answered[1],
		source: details["fetch"],
		parts:  parts,
	}
	return known, answered[2], true
}

// detailsOf reads name:value pairs parted by commas; a value may hold colons.
func detailsOf(text string) map[string]string {
	details := make(map[string]string)
	for _, pair := range strings.Split(text, ",") {
		if name, value, ok := strings.Cut(pair, ":"); ok {
			details[name] = value
		}
	}
	return details
}

// sharedParts reads a prompt's parts, id:tokens parted by commas, without the
// last one, which is the request's own.
func sharedParts(prompt string) []part {
	var parts []part
	for _, text := range strings.Split(prompt, ",") {
		id, count, ok := strings.Cut(text, ":")
		tokens, err := strconv.Atoi(count)
		if !ok || err != nil {
			return nil
		}
		parts = append(parts, part{id: id, tokens: tokens})
	}
	if len(parts) > 1 {
		parts = parts[:len(parts)-1]
	}
	return parts
}
