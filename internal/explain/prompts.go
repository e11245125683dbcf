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

// PromptUse counts the shared parts of prompts that reached targets in one way.
type PromptUse struct {
	Origin string `json:"how"`
	Parts  int    `json:"parts"`
	Tokens int    `json:"tokens"`
}

// The ways in which a shared part of a prompt reaches a target, as far as the logs show.
const (
	promptHeld        = "held by the target"
	promptFetched     = "fetched from a target that held it"
	promptFirst       = "read for the first time"
	promptConcurrent  = "read beside its first reading"
	promptWrongSource = "read again: the named source did not hold it"
	promptNoSource    = "read again: no source was named"
	promptHoldersGone = "read again: no target that held it answers any more"
)

// answeredPrompt is a prompt at the target that answered it.
type answeredPrompt struct {
	sentAt     time.Time
	answeredAt time.Time
	target     string
	source     string
	parts      []part
}

// part is a shared part of a prompt.
type part struct {
	id     string
	tokens int
}

// promptUses counts how the shared parts of prompts reached the targets that answered. It doesn't
// know requests without a log line: a part that only they read before counts as read for the first
// time.
func promptUses(lines []Line) []PromptUse {
	prompts, addresses, lastAnswer := readPrompts(lines)
	held := make(map[string]map[string]time.Time)
	sums := make(map[string]*PromptUse)
	for _, prompt := range prompts {
		source := addresses.ownerAt(prompt.source, prompt.sentAt)
		for _, shared := range prompt.parts {
			origin := prompt.originOf(held[shared.id], source, lastAnswer)
			if sums[origin] == nil {
				sums[origin] = &PromptUse{Origin: origin}
			}
			sums[origin].Parts++
			sums[origin].Tokens += shared.tokens
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

// recordHolder records that a target holds a part from the time of its first answer.
func recordHolder(held map[string]map[string]time.Time, id string, prompt answeredPrompt) {
	if held[id] == nil {
		held[id] = make(map[string]time.Time)
	}
	if since, ok := held[id][prompt.target]; !ok || prompt.answeredAt.Before(since) {
		held[id][prompt.target] = prompt.answeredAt
	}
}

// originOf returns how a part reached the target. It takes the targets that hold the part with the
// time since which they do, the named source, and the time at which each target last answered.
func (p answeredPrompt) originOf(holders map[string]time.Time, source string, lastAnswer map[string]time.Time) string {
	holdsPart := func(target string) bool {
		since, ok := holders[target]
		return ok && !since.After(p.sentAt)
	}
	switch {
	case holdsPart(p.target):
		return promptHeld
	case len(holders) == 0:
		return promptFirst
	case holdsPart(source):
		return promptFetched
	}
	held, answering := false, false
	for target := range holders {
		held = held || holdsPart(target)
		answering = answering || holdsPart(target) && !lastAnswer[target].Before(p.sentAt)
	}
	switch {
	case !held:
		return promptConcurrent
	case !answering:
		return promptHoldersGone
	case p.source == "":
		return promptNoSource
	}
	return promptWrongSource
}

// addressOwner is the target at an address from some time on.
type addressOwner struct {
	from   time.Time
	target string
}

// addressOwners lists the targets at each address, in order of time.
type addressOwners map[string][]addressOwner

// ownerAt returns the target at an address at a time; empty if unknown.
func (o addressOwners) ownerAt(address string, sentAt time.Time) string {
	found := ""
	for _, owner := range o[address] {
		if !owner.from.After(sentAt) {
			found = owner.target
		}
	}
	return found
}

// attemptPattern matches one attempt in a request's line: target, address, outcome and details.
var attemptPattern = regexp.MustCompile(`(\S+?)@(\S+?)=(\w+)\(([^)]*)\)`)

// readPrompts returns the answered prompts in order of time, the targets at each address, and the
// time at which each target last answered.
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

// readPrompt returns the prompt of an answered request and the address of the target that answered
// it.
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

// detailsOf parses name:value pairs separated by commas. A value may contain colons.
func detailsOf(text string) map[string]string {
	details := make(map[string]string)
	for _, pair := range strings.Split(text, ",") {
		if name, value, ok := strings.Cut(pair, ":"); ok {
			details[name] = value
		}
	}
	return details
}

// sharedParts parses the parts of a prompt, id:tokens separated by commas, without the last one,
// which belongs to this request only.
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
