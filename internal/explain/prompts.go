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
	promptHeld        = "held by the target"
	promptFetched     = "fetched from a target that held it"
	promptFirst       = "read for the first time"
	promptConcurrent  = "read beside its first reading"
	promptWrongSource = "read again: the named source did not hold it"
	promptNoSource    = "read again: no source was named"
	promptHoldersGone = "read again: no target that held it answers any more"
)

// use is one prompt at the target that answered.
type answeredPrompt struct {
	sentAt     time.Time
	answeredAt time.Time
	target     string
	source     string
	parts      []part
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
	prompts, addresses, lastAnswer := readPrompts(lines)
	held := make(map[string]map[string]time.Time)
	sums := make(map[string]*PromptUse)
	for _, prompt := range prompts {
		source := addresses.ownerAt(prompt.source, prompt.sentAt)
		for _, shared := range prompt.parts {
			how := prompt.originOf(held[shared.id], source, lastAnswer)
			if sums[how] == nil {
				sums[how] = &PromptUse{Origin: how}
			}
			sums[how].Parts++
			sums[how].Tokens += shared.tokens
		}
		for _, shared := range prompt.parts {
			recordHolder(held, shared.id, prompt)
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

// recordHolder notes that a target holds a part once it has answered.
func recordHolder(held map[string]map[string]time.Time, id string, prompt answeredPrompt) {
	if held[id] == nil {
		held[id] = make(map[string]time.Time)
	}
	if since, ok := held[id][prompt.target]; !ok || prompt.answeredAt.Before(since) {
		held[id][prompt.target] = prompt.answeredAt
	}
}

// how says how a part came to the target, from the targets that hold it since
// some time, the named source, and when each target answered last.
func (u answeredPrompt) originOf(holders map[string]time.Time, source string, lastAnswer map[string]time.Time) string {
	holdsPart := func(target string) bool {
		since, ok := holders[target]
		return ok && !since.After(u.sentAt)
	}
	switch {
	case holdsPart(u.target):
		return promptHeld
	case len(holders) == 0:
		return promptFirst
	case holdsPart(source):
		return promptFetched
	}
	held, answering := false, false
	for target := range holders {
		held = held || holdsPart(target)
		answering = answering || holdsPart(target) && !lastAnswer[target].Before(u.sentAt)
	}
	switch {
	case !held:
		return promptConcurrent
	case !answering:
		return promptHoldersGone
	case u.source == "":
		return promptNoSource
	}
	return promptWrongSource
}

// life is one target at an address, seen from some time on.
type addressOwner struct {
	from   time.Time
	target string
}

// lives are the targets at each address, in order of time.
type addressOwners map[string][]addressOwner

// at is the target at an address at a time; empty if none is known.
func (l addressOwners) ownerAt(address string, sentAt time.Time) string {
	found := ""
	for _, owner := range l[address] {
		if !owner.from.After(sentAt) {
			found = owner.target
		}
	}
	return found
}

// attemptPattern reads one attempt of a request's line: target, address, outcome
// and details.
var attemptPattern = regexp.MustCompile(`(\S+?)@(\S+?)=(\w+)\(([^)]*)\)`)

// readPrompts gathers the answered prompts in order of time, the targets at each
// address, and when each target answered last.
func readPrompts(lines []Line) (prompts []answeredPrompt, addresses addressOwners, lastAnswer map[string]time.Time) {
	addresses, lastAnswer = make(addressOwners), make(map[string]time.Time)
	for _, line := range lines {
		prompt, address, ok := readPrompt(line)
		if !ok {
			continue
		}
		prompts = append(prompts, prompt)
		addresses[address] = append(addresses[address], addressOwner{from: prompt.sentAt, target: prompt.target})
		if prompt.answeredAt.After(lastAnswer[prompt.target]) {
			lastAnswer[prompt.target] = prompt.answeredAt
		}
	}
	slices.SortStableFunc(prompts, func(a, b answeredPrompt) int { return a.sentAt.Compare(b.sentAt) })
	for address := range addresses {
		slices.SortStableFunc(addresses[address], func(a, b addressOwner) int { return a.from.Compare(b.from) })
	}
	return prompts, addresses, lastAnswer
}

// readPrompt reads the prompt of an answered request and the target that answered.
func readPrompt(line Line) (prompt answeredPrompt, address string, ok bool) {
	if line.Event != observe.EventRequest || line.Ending != gateway.EndingAnswered {
		return answeredPrompt{}, "", false
	}
	ended, err := time.Parse(time.RFC3339Nano, line.Time)
	attempts := attemptPattern.FindAllStringSubmatch(line.Attempts, -1)
	parts := sharedParts(line.Prompt)
	if err != nil || len(attempts) == 0 || len(parts) == 0 {
		return answeredPrompt{}, "", false
	}
	answered := attempts[len(attempts)-1]
	details := detailsOf(answered[4])
	took, err := strconv.Atoi(details["took_ms"])
	if err != nil {
		return answeredPrompt{}, "", false
	}
	arrived := ended.Add(-time.Duration(line.TookMs) * time.Millisecond)
	prompt = answeredPrompt{
		sentAt:     ended.Add(-time.Duration(took) * time.Millisecond),
		answeredAt: arrived.Add(time.Duration(line.FirstMs) * time.Millisecond),
		target:     answered[1],
		source:     details["fetch"],
		parts:      parts,
	}
	return prompt, answered[2], true
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
