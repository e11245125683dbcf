package soak

import (
	"syscall"
	"time"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

const (
	// envOutOfStep names the variable that asks for all cases if it is above zero.
	envOutOfStep = "CAPERSADDLE_SOAK_OUT_OF_STEP"
	// firstVersion is the version that serves first.
	firstVersion = "v0"
	// slowStreamGap and shortStreamGap make streams of 3 s and of 0.3 s.
	slowStreamGap  = 100 * time.Millisecond
	shortStreamGap = 10 * time.Millisecond
	// roomyPerSecond is a number of streams that leaves slots free: many gateways learn late of each other's.
	roomyPerSecond = 100
	// manyPerSecond is a number of short streams that the servers' slots hold.
	manyPerSecond = 250
	// slowPerSecond is the same for slow streams.
	slowPerSecond = 30
	// passesFor is the time for which a version is listed that comes and goes, and passingServers the number of
	// its servers.
	passesFor      = 600 * time.Millisecond
	passingServers = 3 * serversOfVersion
	// minWithPassing is the least share of the streams resumed at gateways in step that must go on where
	// streams of a version that has left can't.
	minWithPassing = 0.5
	// storeDelay is the delay of a slow store's answers, and peerDelay that of datagrams between gateways
	// that are far from each other.
	storeDelay = 50 * time.Millisecond
	peerDelay  = 30 * time.Millisecond
)

// outOfStepCase is a case of gateways that are out of step.
type outOfStepCase struct {
	gateways int
	way      outOfStep
	// out is the number of gateways that are out of step together, for the given length.
	out    int
	length time.Duration
	// readers means that those are out of step that read the store for the others, and followers that those
	// are that others read it for.
	readers, followers bool
	// join lets targets of another version join; nil for none.
	join func(s *soak)
	// prepare is called before the gateways are certain that there is one version, and meanwhile beside their
	// being out of step; both may be nil.
	prepare, meanwhile func(s *soak)
	// gap is the pause between the events of streams; zero means seriesGap.
	gap time.Duration
	// perSecond is the number of streams that begin in a second; zero means outOfStepPerSecond.
	perSecond int
	// keepIDs means that targets that begin again keep their IDs.
	keepIDs bool
	// minInStep is the least share of the streams resumed at gateways in step that must go on; zero means
	// minContinuedInStep. minAtOut is the same at gateways out of step; zero for none.
	minInStep, minAtOut float64
}

// outOfStepCases returns the cases that always run.
func outOfStepCases() map[string]outOfStepCase {
	return map[string]outOfStepCase{
		"cut off":                {gateways: 4, way: cutOff, out: 1, length: 2500 * time.Millisecond, join: (*soak).addNewerServers},
		"half cut off together":  {gateways: 4, way: cutOff, out: 2, length: 2500 * time.Millisecond, join: (*soak).addNewerServers},
		"standing still":         {gateways: 4, way: standingStill, out: 1, length: 2500 * time.Millisecond, join: (*soak).addNewerServers},
		"standing still shorter": {gateways: 4, way: standingStill, out: 1, length: 1500 * time.Millisecond, join: (*soak).addNewerServers},
	}
}

// moreOutOfStepCases returns the cases that run by hand.
func moreOutOfStepCases() map[string]outOfStepCase {
	const usual, short = 2500 * time.Millisecond, 1200 * time.Millisecond
	newer := (*soak).addNewerServers
	return map[string]outOfStepCase{
		"nothing happens":                             {gateways: 4, way: undisturbed, out: 1, length: usual, minAtOut: minContinuedInStep},
		"eleven, nothing happens":                     {gateways: 11, way: undisturbed, out: 1, length: usual, minAtOut: minContinuedInStep, perSecond: roomyPerSecond},
		"another version joins, else nothing":         {gateways: 4, way: undisturbed, out: 1, length: usual, join: newer, minAtOut: minContinuedInStep},
		"eleven, another version joins, else nothing": {gateways: 11, way: undisturbed, out: 1, length: usual, join: newer, minAtOut: minContinuedInStep, perSecond: roomyPerSecond},
		"slow store, else nothing":                    {gateways: 4, way: undisturbed, out: 1, length: usual, prepare: (*soak).slowStore, minAtOut: minContinuedInStep},
		"eleven, slow store, else nothing":            {gateways: 11, way: undisturbed, out: 1, length: usual, prepare: (*soak).slowStore, minAtOut: minContinuedInStep, perSecond: roomyPerSecond},
		"eleven, slower store, else nothing":          {gateways: 11, way: undisturbed, out: 1, length: usual, prepare: (*soak).slowerStore, minAtOut: minContinuedInStep, perSecond: roomyPerSecond},
		"store away, else nothing":                    {gateways: 4, way: storeAway, out: 1, length: usual, minAtOut: minContinuedInStep},
		"eleven, store away, else nothing":            {gateways: 11, way: storeAway, out: 1, length: usual, minAtOut: minContinuedInStep, perSecond: roomyPerSecond},

		"cut off for 0.5 s":                {gateways: 4, way: cutOff, out: 1, length: 500 * time.Millisecond, join: newer},
		"cut off for 1 s":                  {gateways: 4, way: cutOff, out: 1, length: time.Second, join: newer},
		"cut off for 5 s":                  {gateways: 4, way: cutOff, out: 1, length: 5 * time.Second, join: newer},
		"cut off for 10 s":                 {gateways: 4, way: cutOff, out: 1, length: 10 * time.Second, join: newer},
		"standing still for 0.5 s":         {gateways: 4, way: standingStill, out: 1, length: 500 * time.Millisecond, join: newer},
		"standing still for 5 s":           {gateways: 4, way: standingStill, out: 1, length: 5 * time.Second, join: newer},
		"half cut off together for 1 s":    {gateways: 4, way: cutOff, out: 2, length: time.Second, join: newer},
		"half cut off together for 5 s":    {gateways: 4, way: cutOff, out: 2, length: 5 * time.Second, join: newer},
		"half standing still":              {gateways: 4, way: standingStill, out: 2, length: usual, join: newer},
		"readers cut off":                  {gateways: 4, way: cutOff, out: 2, length: usual, readers: true, join: newer},
		"readers standing still":           {gateways: 4, way: standingStill, out: 2, length: usual, readers: true, join: newer},
		"cut off from the others":          {gateways: 4, way: cutOffFromOthers, out: 1, length: usual, join: newer},
		"half cut off from the others":     {gateways: 4, way: cutOffFromOthers, out: 2, length: usual, join: newer},
		"eleven, cut off":                  {gateways: 11, way: cutOff, out: 1, length: usual, join: newer, perSecond: roomyPerSecond},
		"eleven, half cut off together":    {gateways: 11, way: cutOff, out: 5, length: usual, join: newer, perSecond: roomyPerSecond},
		"eleven, half standing still":      {gateways: 11, way: standingStill, out: 5, length: usual, join: newer, perSecond: roomyPerSecond},
		"eleven, readers cut off":          {gateways: 11, way: cutOff, out: 2, length: usual, readers: true, join: newer, perSecond: roomyPerSecond},
		"twenty-eight, half cut off":       {gateways: 28, way: cutOff, out: 14, length: usual, join: newer, perSecond: roomyPerSecond},
		"calls to the store hang":          {gateways: 4, way: cutOffFromStore, out: 1, length: usual, join: newer},
		"readers' calls hang":              {gateways: 4, way: cutOffFromStore, out: 1, length: usual, readers: true, join: newer},
		"both readers' calls hang":         {gateways: 4, way: cutOffFromStore, out: 2, length: usual, readers: true, join: newer},
		"eleven, both readers' calls hang": {gateways: 11, way: cutOffFromStore, out: 2, length: usual, readers: true, join: newer, perSecond: roomyPerSecond},
		"store away from all":              {gateways: 4, way: storeAway, out: 1, length: usual, join: newer},
		"eleven, store away from all":      {gateways: 11, way: storeAway, out: 1, length: usual, join: newer, perSecond: roomyPerSecond},

		"cut off, targets begin again":        {gateways: 4, way: cutOff, out: 1, length: usual, join: (*soak).restartSomeAsNewer, keepIDs: true},
		"standing still, targets begin again": {gateways: 4, way: standingStill, out: 1, length: usual, join: (*soak).restartSomeAsNewer, keepIDs: true},
		"cut off, all targets begin again":    {gateways: 4, way: cutOff, out: 1, length: usual, join: (*soak).restartAllAsNewer, keepIDs: true},

		"cut off, slow streams":                                        {gateways: 4, way: cutOff, out: 1, length: usual, join: newer, gap: slowStreamGap, perSecond: slowPerSecond},
		"cut off, short streams":                                       {gateways: 4, way: cutOff, out: 1, length: usual, join: newer, gap: shortStreamGap},
		"cut off, many short streams":                                  {gateways: 4, way: cutOff, out: 1, length: usual, join: newer, gap: shortStreamGap, perSecond: manyPerSecond},
		"half cut off, many short streams":                             {gateways: 4, way: cutOff, out: 2, length: usual, join: newer, gap: shortStreamGap, perSecond: manyPerSecond},
		"standing still, many short streams":                           {gateways: 4, way: standingStill, out: 1, length: usual, join: newer, gap: shortStreamGap, perSecond: manyPerSecond},
		"calls to the store hang, many short streams":                  {gateways: 4, way: cutOffFromStore, out: 2, length: usual, readers: true, join: newer, gap: shortStreamGap, perSecond: manyPerSecond},
		"cut off, a version comes and goes":                            whilePasses(outOfStepCase{gateways: 4, way: cutOff, out: 1, length: usual}),
		"standing still, a version comes and goes":                     whilePasses(outOfStepCase{gateways: 4, way: standingStill, out: 1, length: usual}),
		"cut off, a version passes, compacted":                         whilePasses(outOfStepCase{gateways: 4, way: cutOff, out: 1, length: usual, meanwhile: (*soak).compactHistory}),
		"standing still, a version passes, compacted":                  whilePasses(outOfStepCase{gateways: 4, way: standingStill, out: 1, length: usual, meanwhile: (*soak).compactHistory}),
		"reader cut off, a version passes":                             whilePasses(outOfStepCase{gateways: 4, way: cutOff, out: 1, length: usual, readers: true}),
		"eleven, cut off, a version comes and goes":                    whilePasses(outOfStepCase{gateways: 11, way: cutOff, out: 1, length: usual}),
		"cut off for 1.2 s, a version comes and goes":                  whilePasses(outOfStepCase{gateways: 4, way: cutOff, out: 1, length: short}),
		"reader cut off for 1.2 s, a version passes":                   whilePasses(outOfStepCase{gateways: 4, way: cutOff, out: 1, length: short, readers: true}),
		"cut off for 1.2 s, a version passes, compacted":               whilePasses(outOfStepCase{gateways: 4, way: cutOff, out: 1, length: short, meanwhile: (*soak).compactHistory}),
		"half cut off for 1.2 s, a version comes and goes":             whilePasses(outOfStepCase{gateways: 4, way: cutOff, out: 2, length: short}),
		"eleven, cut off for 1.2 s, a version comes and goes":          whilePasses(outOfStepCase{gateways: 11, way: cutOff, out: 1, length: short}),
		"follower stands still for 1.2 s, a version passes":            whilePasses(outOfStepCase{gateways: 4, way: standingStill, out: 1, length: short, followers: true}),
		"follower cut off from the others for 0.9 s, a version passes": whilePasses(outOfStepCase{gateways: 4, way: cutOffFromOthers, out: 1, length: joinsAfter + passesFor, followers: true}),
		"cut off, slow store":                                          {gateways: 4, way: cutOff, out: 1, length: usual, join: newer, prepare: (*soak).slowStore},
		"standing still, slow store":                                   {gateways: 4, way: standingStill, out: 1, length: usual, join: newer, prepare: (*soak).slowStore},
		"cut off, history compacted":                                   {gateways: 4, way: cutOff, out: 1, length: usual, join: newer, meanwhile: (*soak).compactHistory},
		"standing still, history compacted":                            {gateways: 4, way: standingStill, out: 1, length: usual, join: newer, meanwhile: (*soak).compactHistory},
		"cut off, far from each other":                                 {gateways: 4, way: cutOff, out: 1, length: usual, join: newer, prepare: func(s *soak) { s.mesh.setDelay(peerDelay) }},
		"standing still, farther from each other":                      {gateways: 4, way: standingStill, out: 1, length: usual, join: newer, prepare: func(s *soak) { s.mesh.setDelay(proxyDelay) }},
		"cut off, another one is killed":                               {gateways: 4, way: cutOff, out: 1, length: usual, join: newer, meanwhile: (*soak).killAndRestartFirst, minInStep: minContinued},
		"half cut off, another one is killed":                          {gateways: 4, way: cutOff, out: 2, length: usual, join: newer, meanwhile: (*soak).killAndRestartFirst, minInStep: minContinued},
	}
}

// whilePasses returns a case in which another version comes and goes meanwhile. Streams are slow, so that those
// that it began are resumed later.
func whilePasses(test outOfStepCase) outOfStepCase {
	test.join = (*soak).letVersionPass
	test.gap, test.perSecond, test.minInStep = slowStreamGap, slowPerSecond, minWithPassing
	return test
}

// outOfStep is how gateways get out of step with the others.
type outOfStep struct {
	begin, end func(s *soak, numbers []int)
}

var (
	// undisturbed: nothing happens to them.
	undisturbed = outOfStep{func(*soak, []int) {}, func(*soak, []int) {}}
	// cutOff: they neither reach the others nor the store. Callers and targets reach them.
	cutOff = outOfStep{
		func(s *soak, numbers []int) { s.mesh.setBetween(numbers, silenced); s.setStoreLinks(numbers, silenced) },
		func(s *soak, numbers []int) { s.mesh.setBetween(numbers, normal); s.setStoreLinks(numbers, normal) },
	}
	// cutOffFromOthers: they reach the store only.
	cutOffFromOthers = outOfStep{
		func(s *soak, numbers []int) { s.mesh.setBetween(numbers, silenced) },
		func(s *soak, numbers []int) { s.mesh.setBetween(numbers, normal) },
	}
	// cutOffFromStore: they reach the others only.
	cutOffFromStore = outOfStep{
		func(s *soak, numbers []int) { s.setStoreLinks(numbers, silenced) },
		func(s *soak, numbers []int) { s.setStoreLinks(numbers, normal) },
	}
	// storeAway: the store answers nobody.
	storeAway = outOfStep{
		func(s *soak, _ []int) { s.platform.Store.SetFaults(emulator.StoreFaults{Silent: true}) },
		func(s *soak, _ []int) { s.platform.Store.SetFaults(emulator.StoreFaults{}) },
	}
	// standingStill: their processes are stopped.
	standingStill = outOfStep{
		func(s *soak, numbers []int) { s.signalAll(numbers, syscall.SIGSTOP) },
		func(s *soak, numbers []int) { s.signalAll(numbers, syscall.SIGCONT) },
	}
)

func (s *soak) setStoreLinks(numbers []int, next condition) {
	for _, number := range numbers {
		s.gateways[number].store.set(next)
	}
}

func (s *soak) signalAll(numbers []int, signal syscall.Signal) {
	for _, number := range numbers {
		s.gateways[number].signal(signal)
	}
}

// addNewerServers adds servers of another version.
func (s *soak) addNewerServers() {
	for i := range serversOfVersion {
		s.addVersionedServer("newer", i)
	}
}

// letVersionPass adds servers of another version, and removes their entries some time later. They go on
// serving, as the platform's servers do.
func (s *soak) letVersionPass() {
	for i := range passingServers {
		s.addVersionedServer("passing", i)
	}
	time.Sleep(passesFor)
	for i := range passingServers {
		s.platform.Store.Remove("servers/" + serverID("passing", i))
	}
}

func (s *soak) compactHistory() { s.platform.Store.Compact() }

// restartSomeAsNewer makes a third of the servers begin again at another version.
func (s *soak) restartSomeAsNewer() { s.restartAsNewer(serversOfVersion / 3) }

// restartAllAsNewer makes all servers begin again at another version.
func (s *soak) restartAllAsNewer() { s.restartAsNewer(serversOfVersion) }

func (s *soak) restartAsNewer(count int) {
	for _, server := range s.versioned[:count] {
		if _, err := s.platform.RestartAs(server, "newer"); err != nil {
			s.t.Error(err)
		}
	}
}

// slowStore delays the store's answers.
func (s *soak) slowStore() { s.platform.Store.SetFaults(emulator.StoreFaults{Delay: storeDelay}) }

// slowerStore delays them by more than a resumed stream waits for a proof.
func (s *soak) slowerStore() { s.platform.Store.SetFaults(emulator.StoreFaults{Delay: 2 * storeDelay}) }

// killAndRestartFirst kills the first gateway, which begins again.
func (s *soak) killAndRestartFirst() {
	g := s.gateways[0]
	s.killGateways(g)
	time.Sleep(downTime)
	s.restart(g)
	s.awaitServing(g)
}
