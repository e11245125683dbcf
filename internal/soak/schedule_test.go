package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

// action is the kind of a fault.
type action string

const (
	kill              action = "kill"
	terminate         action = "terminate"
	pause             action = "pause"
	hangUp            action = "hang_up"
	storeDown         action = "store_down"
	storeSilent       action = "store_silent"
	storeSlow         action = "store_slow"
	storeLosesAnswers action = "store_loses"
	compact           action = "compact"
	changeConfig      action = "change"
	misbehave         action = "misbehave"
	drainServer       action = "drain_server"
	// storeLink changes the connections between one gateway and the store, and serverLink those
	// between all gateways and one server.
	storeLink  action = "store_link"
	serverLink action = "server_link"
	// changeDuringOutage revokes a key while no gateway can learn of it, for longer than
	// gateways may accept a key without confirmation.
	changeDuringOutage action = "change_unseen"
	// evacuate evacuates a data centre for a while, and coldStart makes a server come back
	// cold. Both are planned work.
	evacuate  action = "evacuate"
	coldStart action = "turn_cold"
	// announceLeaving makes a server announce in its responses, and nowhere else, that it is
	// leaving. shedWithRetryAfter makes a server reject requests for a while with a Retry-After
	// header. Both are planned work.
	announceLeaving    action = "leave_in_answers"
	shedWithRetryAfter action = "ask_for_rest"
)

var (
	plannedActions = []action{terminate, hangUp, changeConfig, compact}
	allActions     = []action{kill, terminate, pause, pause, hangUp, storeDown, storeSilent, storeSlow, storeLosesAnswers, compact, changeConfig, misbehave, misbehave, drainServer, storeLink, storeLink, serverLink, serverLink, changeDuringOutage}
	modes          = []emulator.Mode{emulator.Error, emulator.Shed, emulator.ResetAfter, emulator.Mute, emulator.CutMiddle, emulator.Unframed, emulator.Foreign, emulator.Encoded, emulator.Garbage, emulator.Early, emulator.Unsigned, emulator.EndInside}
)

var conditions = []condition{delayed, silenced, oneWay, reset}

// fault is one scheduled fault.
type fault struct {
	at     time.Duration
	action action
	// index selects the affected gateway or server.
	index    int
	duration time.Duration
	mode     emulator.Mode
	link     condition
	// retryAfter is the Retry-After value that a server sends.
	retryAfter string
}

func (e fault) String() string {
	return fmt.Sprintf("%v %s which=%d lasts=%v mode=%q link=%d rest=%q", e.at, e.action, e.index, e.duration, e.mode, e.link, e.retryAfter)
}

// drawSchedule draws a schedule from the seed alone. Every third seed has planned work only,
// which must not cut any call.
func drawSchedule(seed uint64, gateways, servers int, length time.Duration) (schedule []fault, plannedOnly bool) {
	rng := rand.New(rand.NewPCG(seed, 1))
	plannedOnly = seed%3 == 0
	actions := allActions
	if plannedOnly {
		actions = plannedActions
	}
	for range 6 + rng.IntN(8) {
		fault := fault{
			at:       time.Duration(rng.Int64N(int64(length))),
			action:   actions[rng.IntN(len(actions))],
			index:    rng.IntN(gateways),
			duration: 200*time.Millisecond + time.Duration(rng.Int64N(int64(2800*time.Millisecond))),
			mode:     modes[rng.IntN(len(modes))],
			link:     conditions[rng.IntN(len(conditions))],
		}
		if fault.action == misbehave || fault.action == drainServer || fault.action == serverLink {
			fault.index = rng.IntN(servers)
		}
		schedule = append(schedule, fault)
	}
	schedule = append(schedule, drawEvacuationsAndColdStarts(seed, servers, length)...)
	schedule = append(schedule, drawNotices(seed, servers, length)...)
	slices.SortFunc(schedule, func(a, b fault) int { return int(a.at - b.at) })
	return schedule, plannedOnly
}

// drawEvacuationsAndColdStarts uses a random source of its own, so that seeds that failed
// before these faults were added still draw the same other faults. The faults start early
// enough for their effect to be observed once it must be in force.
func drawEvacuationsAndColdStarts(seed uint64, servers int, length time.Duration) []fault {
	rng := rand.New(rand.NewPCG(seed, 2))
	kinds := []action{evacuate, coldStart}
	var schedule []fault
	for range 1 + rng.IntN(2) {
		schedule = append(schedule, fault{
			at:       time.Duration(rng.Int64N(int64(length / 3))),
			action:   kinds[rng.IntN(len(kinds))],
			index:    rng.IntN(servers),
			duration: length/3 + time.Duration(rng.Int64N(int64(length/3))),
		})
	}
	return schedule
}

// retryAfterValues are the Retry-After values that servers send, valid and invalid.
var retryAfterValues = []string{"0.7", "1", "2.5", "4", "soon", "-1", "1e99"}

// drawNotices draws the servers' notices from a random source of its own, for the same reason.
// At most one server leaves, so that each service keeps others.
func drawNotices(seed uint64, servers int, length time.Duration) []fault {
	rng := rand.New(rand.NewPCG(seed, 3))
	var schedule []fault
	for number := range 1 + rng.IntN(3) {
		fault := fault{
			at:         time.Duration(rng.Int64N(int64(length * 2 / 3))),
			action:     shedWithRetryAfter,
			index:      rng.IntN(servers),
			duration:   length/6 + time.Duration(rng.Int64N(int64(length/3))),
			retryAfter: retryAfterValues[rng.IntN(len(retryAfterValues))],
		}
		if number == 0 && rng.IntN(3) > 0 {
			fault.action, fault.retryAfter = announceLeaving, ""
		}
		schedule = append(schedule, fault)
	}
	return schedule
}

func formatSchedule(schedule []fault) string {
	var text strings.Builder
	for _, fault := range schedule {
		text.WriteString(fault.String() + "\n")
	}
	return text.String()
}
