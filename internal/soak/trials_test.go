package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/capersaddle/capersaddle/internal/emulator"
	"github.com/capersaddle/capersaddle/internal/wait"
)

const (
	// oldRelease is the version that serves at the start. trialRelease is the version ordered
	// first, and changedRelease, which is always good, the one that a changed order names.
	oldRelease, trialRelease, changedRelease = "v1", "v2", "v3"
	// trialTail is how long a seed continues after its schedule without new faults, so that
	// overdue effects show.
	trialTail = 3 * time.Second
	// trialShare and trialSlack limit the requests that a version on trial gets. They are
	// larger than usual because a move of all requests has to fit into an order of a few
	// seconds.
	trialShare = 0.2
	trialSlack = 150
	// rollback is the gateways' time limit for rolling back, which also limits their grants.
	rollback = 2 * time.Second
	// maxCompletions exceeds the number of a seed's orders, each of which completes at most
	// once.
	maxCompletions = 4
)

// behavior is how a version on trial behaves.
type behavior string

const (
	good        behavior = "good"
	failing     behavior = "fails"
	slow        behavior = "slow"
	oneRoute    behavior = "one_route"
	failingLate behavior = "bad_late"
)

// intervention is what operators do during a rollout.
type intervention string

const (
	noIntervention intervention = "none"
	changeOrder    intervention = "changed"
	withdrawOrder  intervention = "withdrawn"
	repeatOrder    intervention = "again"
)

// A good version is as likely as all others together, because only a good one reaches the move
// and the completion.
var (
	behaviors     = []behavior{good, good, good, good, failing, slow, oneRoute, failingLate}
	interventions = []intervention{noIntervention, noIntervention, noIntervention, changeOrder, withdrawOrder, repeatOrder}
)

// trial is the rollout in a schedule.
type trial struct {
	service string
	// at is when the rollout is ordered, duration the duration in the order, and
	// interventionAfter the time from the order to the intervention.
	at, duration, interventionAfter time.Duration
	behavior                        behavior
	intervention                    intervention
	// stopOldTargets stops the old targets as soon as the store reports the completion.
	// Otherwise they keep running, so that requests that still reach them are observed.
	stopOldTargets bool
}

func (t trial) String() string {
	return fmt.Sprintf("%v order of %s at %s within %v, race %s after %v, old targets stop=%v", t.at, t.behavior, t.service, t.duration, t.intervention, t.interventionAfter, t.stopOldTargets)
}

// drawTrial draws the rollout from a random source of its own, like
// drawEvacuationsAndColdStarts.
func drawTrial(seed uint64, length time.Duration) trial {
	rng := rand.New(rand.NewPCG(seed, 3))
	fraction := func(low, high float64) time.Duration {
		return time.Duration((low + rng.Float64()*(high-low)) * float64(length))
	}
	drawn := trial{
		service:        []string{"plain", "plain", "engine"}[rng.IntN(3)],
		at:             fraction(0.1, 0.2),
		duration:       fraction(0.7, 0.9),
		behavior:       behaviors[rng.IntN(len(behaviors))],
		intervention:   interventions[rng.IntN(len(interventions))],
		stopOldTargets: rng.IntN(2) == 0,
	}
	drawn.interventionAfter = time.Duration((0.2 + 0.4*rng.Float64()) * float64(drawn.duration))
	return drawn
}

// bad describes how the servers of the version fail; nil for a good version.
func (t trial) bad(seed uint64) *emulator.Bad {
	const share = 0.4
	switch t.behavior {
	case failing:
		return &emulator.Bad{Share: share, Seed: seed}
	case slow:
		return &emulator.Bad{Slower: 5, Seed: seed}
	case oneRoute:
		path := "/ask/"
		if t.service == "engine" {
			path = "/chat/"
		}
		return &emulator.Bad{Share: share, Path: path, Seed: seed}
	case failingLate:
		return &emulator.Bad{Share: share, After: t.duration / 2, Seed: seed}
	default:
		return nil
	}
}

// rolloutOrder is an operators' order about a service. An order without a version withdraws the
// previous one.
type rolloutOrder struct {
	service, version string
	revision         int64
	at               time.Time
}

// rolloutState is a state of a rollout in the store, from its record or its status.
type rolloutState struct {
	service  string
	at       time.Time
	revision int64
	version  string
	state    string
	// order is the revision of the order; set for records only.
	order int64
}

// addTrialServers starts the servers of the later versions, which have no entries yet.
func (s *soak) addTrialServers() {
	prefix := "p"
	if s.trial.service == "engine" {
		prefix = "e"
	}
	for _, release := range []string{trialRelease, changedRelease} {
		for i := range servers {
			s.addServer(prefix + "-" + release + "-" + strconv.Itoa(i))
		}
	}
}

// releaseOf returns the version of a server, which is part of its ID except for the initial
// servers.
func releaseOf(id string) string {
	if parts := strings.Split(id, "-"); len(parts) == 3 {
		return parts[1]
	}
	return oldRelease
}

// runOperator orders the rollout, makes the intervention, and stops old targets.
func (s *soak) runOperator(ctx context.Context, start time.Time) {
	s.faults.Go(func() { s.stopOldServers(ctx) })
	if !wait.For(ctx, time.Until(start.Add(s.trial.at))) {
		return
	}
	s.startRollout(trialRelease, s.trial.bad(s.seed))
	if !wait.For(ctx, time.Until(start.Add(s.trial.at+s.trial.interventionAfter))) {
		return
	}
	switch s.trial.intervention {
	case changeOrder:
		s.startRollout(changedRelease, nil)
	case withdrawOrder:
		s.withdrawTrial()
	case repeatOrder:
		s.placeOrder(trialRelease)
	case noIntervention:
	}
}

// startRollout registers the targets of a version and orders it.
func (s *soak) startRollout(release string, bad *emulator.Bad) {
	for number, server := range s.servers {
		if releaseOf(server.ID()) != release {
			continue
		}
		server.TurnBad(bad)
		if err := s.writeEntry(number, "ready"); err != nil {
			s.t.Error(err)
		}
	}
	s.placeOrder(release)
}

// placeOrder orders a version whose targets are registered already.
func (s *soak) placeOrder(release string) {
	at := time.Now()
	revision, err := s.platform.Order(s.trial.service, release, s.trial.duration)
	if err != nil {
		s.t.Error(err)
	}
	s.addOrder(rolloutOrder{service: s.trial.service, version: release, revision: revision, at: at})
}

func (s *soak) withdrawTrial() {
	at := time.Now()
	s.platform.Withdraw(s.trial.service)
	s.addOrder(rolloutOrder{service: s.trial.service, at: at})
}

func (s *soak) addOrder(order rolloutOrder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders = append(s.orders, order)
}

// stopOldServers stops the targets of other versions once the store reports a completion.
func (s *soak) stopOldServers(ctx context.Context) {
	for {
		select {
		case release := <-s.completed:
			s.stopOtherReleases(release)
		case <-ctx.Done():
			return
		}
	}
}

func (s *soak) stopOtherReleases(release string) {
	if !s.trial.stopOldTargets {
		return
	}
	for number, server := range s.servers {
		if serviceOf(server.ID()) == s.trial.service && releaseOf(server.ID()) != release {
			s.stopServer(number)
		}
	}
}

// recordChange records the rollout states in the store. It is called with the store locked.
func (s *soak) recordChange(changed emulator.Item) {
	if service, ok := strings.CutPrefix(changed.Key, "capersaddle/rollout/"); ok && !changed.Gone {
		var record struct {
			Version  string `json:"version"`
			Revision int64  `json:"revision"`
			State    string `json:"state"`
		}
		if err := json.Unmarshal(changed.Value, &record); err != nil {
			s.t.Error(err)
		}
		s.addRecord(rolloutState{service, time.Now(), changed.Revision, record.Version, record.State, record.Revision})
	}
	if service, ok := strings.CutPrefix(changed.Key, "status/rollout/"); ok && !changed.Gone {
		var status struct {
			Version string `json:"target_version"`
			State   string `json:"state"`
		}
		if err := json.Unmarshal(changed.Value, &status); err != nil {
			s.t.Error(err)
		}
		s.addStatus(rolloutState{service: service, at: time.Now(), revision: changed.Revision, version: status.Version, state: status.State})
	}
}

func (s *soak) addRecord(state rolloutState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, state)
}

func (s *soak) addStatus(state rolloutState) {
	s.mu.Lock()
	s.statuses = append(s.statuses, state)
	s.mu.Unlock()
	if state.state != emulator.StateCompleted {
		return
	}
	select {
	case s.completed <- state.version:
	default: // the checks report surplus completions
	}
}

// beginIsolation records that a gateway, or every gateway if the name is empty, may receive no
// updates until the returned function is called.
func (s *soak) beginIsolation(gateway string) func() {
	from := time.Now()
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.isolations = append(s.isolations, span{name: gateway, from: from, until: time.Now()})
	}
}
