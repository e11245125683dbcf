package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

// action is a kind of fault.
type action string

const (
	kill        action = "kill"
	terminate   action = "terminate"
	pause       action = "pause"
	hangUp      action = "hang_up"
	storeDown   action = "store_down"
	storeSilent action = "store_silent"
	storeSlow   action = "store_slow"
	storeLoses  action = "store_loses"
	compact     action = "compact"
	change      action = "change"
	misbehave   action = "misbehave"
	drainServer action = "drain_server"
	// storeLink and serverLink change the connections between one gateway and
	// the store, and between all gateways and one server.
	storeLink  action = "store_link"
	serverLink action = "server_link"
	// changeUnseen takes a key away while no gateway hears of it, for longer
	// than keys may be vouched for.
	changeUnseen action = "change_unseen"
	// evacuate has a data centre evacuated for a while, and turnCold a server come back
	// cold; both are planned work.
	evacuate action = "evacuate"
	turnCold action = "turn_cold"
	// leaveInAnswers has a server say in its answers that it leaves, and nowhere else, and
	// askForRest has one turn requests away for a while and ask for rest; both are planned work.
	leaveInAnswers action = "leave_in_answers"
	askForRest     action = "ask_for_rest"
)

var (
	planned = []action{terminate, hangUp, change, compact}
	all     = []action{kill, terminate, pause, pause, hangUp, storeDown, storeSilent, storeSlow, storeLoses, compact, change, misbehave, misbehave, drainServer, storeLink, storeLink, serverLink, serverLink, changeUnseen}
	modes   = []emulator.Mode{emulator.Error, emulator.Shed, emulator.ResetAfter, emulator.Mute, emulator.CutMiddle, emulator.Unframed, emulator.Foreign, emulator.Encoded, emulator.Garbage, emulator.Early, emulator.Unsigned, emulator.EndInside}
)

var conditions = []condition{delayed, silenced, oneWay, reset}

// event is one fault of a schedule.
type event struct {
	at     time.Duration
	action action
	// which is the gateway or server that it strikes.
	which int
	lasts time.Duration
	mode  emulator.Mode
	link  condition
	// rest is what a server asks for.
	rest string
}

func (e event) String() string {
	return fmt.Sprintf("%v %s which=%d lasts=%v mode=%q link=%d rest=%q", e.at, e.action, e.which, e.lasts, e.mode, e.link, e.rest)
}

// draw draws a schedule from a seed and nothing else. Every third seed has
// planned work only, in which nothing may be cut.
func draw(seed uint64, gateways, servers int, length time.Duration) (schedule []event, calm bool) {
	source := rand.New(rand.NewPCG(seed, 1))
	calm = seed%3 == 0
	actions := all
	if calm {
		actions = planned
	}
	for range 6 + source.IntN(8) {
		made := event{
			at:     time.Duration(source.Int64N(int64(length))),
			action: actions[source.IntN(len(actions))],
			which:  source.IntN(gateways),
			lasts:  200*time.Millisecond + time.Duration(source.Int64N(int64(2800*time.Millisecond))),
			mode:   modes[source.IntN(len(modes))],
			link:   conditions[source.IntN(len(conditions))],
		}
		if made.action == misbehave || made.action == drainServer || made.action == serverLink {
			made.which = source.IntN(servers)
		}
		schedule = append(schedule, made)
	}
	schedule = append(schedule, drawPlaces(seed, servers, length)...)
	schedule = append(schedule, drawNotices(seed, servers, length)...)
	slices.SortFunc(schedule, func(a, b event) int { return int(a.at - b.at) })
	return schedule, calm
}

// drawPlaces draws evacuations and cold returns; by a source of their own, so that seeds
// that failed before these were known still draw the same faults. They begin early
// enough for what must be in force to be seen.
func drawPlaces(seed uint64, servers int, length time.Duration) []event {
	source := rand.New(rand.NewPCG(seed, 2))
	kinds := []action{evacuate, turnCold}
	var schedule []event
	for range 1 + source.IntN(2) {
		schedule = append(schedule, event{
			at:     time.Duration(source.Int64N(int64(length / 3))),
			action: kinds[source.IntN(len(kinds))],
			which:  source.IntN(servers),
			lasts:  length/3 + time.Duration(source.Int64N(int64(length/3))),
		})
	}
	return schedule
}

// rests are what servers ask for, as they write it.
var rests = []string{"0.7", "1", "2.5", "4", "soon", "-1", "1e99"}

// drawNotices draws what servers say of themselves; by a source of their own, as above. One
// leaves at most, so that each service has others.
func drawNotices(seed uint64, servers int, length time.Duration) []event {
	source := rand.New(rand.NewPCG(seed, 3))
	var schedule []event
	for number := range 1 + source.IntN(3) {
		made := event{
			at:     time.Duration(source.Int64N(int64(length * 2 / 3))),
			action: askForRest,
			which:  source.IntN(servers),
			lasts:  length/6 + time.Duration(source.Int64N(int64(length/3))),
			rest:   rests[source.IntN(len(rests))],
		}
		if number == 0 && source.IntN(3) > 0 {
			made.action, made.rest = leaveInAnswers, ""
		}
		schedule = append(schedule, made)
	}
	return schedule
}

func describe(schedule []event) string {
	var text strings.Builder
	for _, made := range schedule {
		text.WriteString(made.String() + "\n")
	}
	return text.String()
}
