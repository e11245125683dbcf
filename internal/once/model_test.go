package once

import (
	"fmt"
	"time"

	"github.com/capersaddle/capersaddle/internal/wire"
)

// chooser picks one of n possibilities, from rapid or from a seeded random source.
type chooser interface {
	Pick(n int, label string) int
}

// world is the model: hosts with wrong clocks, a store whose answers are lost or late, messages
// that are late or lost, and processes that pause at any point.
type world struct {
	choose   chooser
	options  Options
	mutation mutation
	now      time.Duration
	hosts    []*modelHost
	// store is the latest version of the table, and leases holds the long leases by agent.
	store    Table
	leases   map[string]LongLease
	writes   []*modelWrite
	promises []*modelPromise
	runs     []modelRun
	keys     []modelKey
	// runCounts holds how often the target ran each key.
	runCounts map[string]int
	// notRun holds the keys that a caller was told did not run.
	notRun   map[string]bool
	deciding *modelProcess
	nested   bool
	trace    []string
}

type modelHost struct {
	name string
	// clockError is the error of the wall clock.
	clockError time.Duration
	// bootOrigin is the start of the boot clock; it differs between hosts.
	bootOrigin time.Duration
	// processes are all incarnations. The last one is current; the others are paused and may
	// resume.
	processes []*modelProcess
}

type modelProcess struct {
	world *world
	host  *modelHost
	guard *Guard
	// onWall, if set, runs before each reading of the wall clock.
	onWall func()
}

type modelWrite struct {
	process *modelProcess
	base    uint64
	table   Table
}

type modelPromise struct {
	owner   *modelProcess
	witness Holder
	sentAt  time.Duration
	granted bool
}

type modelRun struct {
	process *modelProcess
	record  *Record
}

type modelKey struct {
	name string
	at   time.Time
}

var modelStart = time.UnixMilli(1_700_000_000_000)

// Wall returns the host's wrong clock. The process may pause right before it is read.
func (p *modelProcess) Wall() time.Time {
	p.pause()
	if p.onWall != nil {
		p.onWall()
	}
	return modelStart.Add(p.world.now + p.host.clockError)
}

// Boot returns true time, with a different origin on each host.
func (p *modelProcess) Boot() time.Duration {
	p.pause()
	return p.world.now + p.host.bootOrigin
}

// pause lets other processes act while this one is in the middle of a decision.
func (p *modelProcess) pause() {
	w := p.world
	if w.deciding != p || w.nested || w.choose.Pick(12, "pause") != 0 {
		return
	}
	w.nested = true
	defer func() { w.nested = false }()
	w.tracef("%s pauses during a decision", p.name())
	for range 14 {
		w.action()
	}
}

func (p *modelProcess) name() string {
	return p.host.name + "#" + p.guard.self.Incarnation
}

func modelOptions() Options {
	options := DefaultOptions()
	options.Service = "topup"
	options.MaxKeyAge = 20 * time.Second
	options.Keep = 20 * time.Second
	options.LongLease = 40 * time.Second
	return options
}

const (
	modelSlots = 2
	modelHosts = 3
)

func newWorld(choose chooser, mutation mutation) *world {
	w := &world{
		choose:    choose,
		options:   modelOptions(),
		mutation:  mutation,
		leases:    make(map[string]LongLease),
		runCounts: make(map[string]int),
		notRun:    make(map[string]bool),
	}
	w.store = NewTable(modelSlots)
	w.store.Version = 1
	for i := range modelHosts {
		span := int64(2 * w.options.ClockError / time.Millisecond)
		offset := time.Duration(choose.Pick(int(span)+1, "clock error")) * time.Millisecond
		host := &modelHost{name: fmt.Sprintf("h%d", i), clockError: offset - w.options.ClockError, bootOrigin: time.Duration(i+1) * time.Hour}
		w.hosts = append(w.hosts, host)
		w.start(host)
	}
	for _, host := range w.hosts {
		p := host.current()
		w.renewLease(p)
		p.guard.Apply(w.store)
		w.plan(p)
		w.resolveWrite(0, true)
		p.guard.Apply(w.store)
	}
	return w
}

func (w *world) tracef(format string, args ...any) {
	line := fmt.Sprintf("%8.3fs ", w.now.Seconds()) + fmt.Sprintf(format, args...)
	w.trace = append(w.trace, line)
}

func (h *modelHost) current() *modelProcess {
	return h.processes[len(h.processes)-1]
}

func (w *world) start(host *modelHost) {
	options := w.options
	options.Agent = host.name
	options.Incarnation = fmt.Sprint(len(host.processes) + 1)
	p := &modelProcess{world: w, host: host}
	p.guard = NewGuard(options, p)
	p.guard.mutation = w.mutation
	host.processes = append(host.processes, p)
	w.tracef("%s starts", p.name())
}

// anyProcess picks a process: mostly a current one, sometimes an old one that was assumed dead.
func (w *world) anyProcess() *modelProcess {
	host := w.hosts[w.choose.Pick(len(w.hosts), "host")]
	p := host.current()
	if len(host.processes) > 1 && w.choose.Pick(3, "old") == 0 {
		p = host.processes[w.choose.Pick(len(host.processes), "process")]
	}
	return p
}

// idleProcess picks a process like anyProcess, or returns nil if that one is in the middle of a
// decision.
func (w *world) idleProcess() *modelProcess {
	p := w.anyProcess()
	if w.nested && p == w.deciding {
		return nil
	}
	return p
}

// action performs one random step of the model.
func (w *world) action() {
	p := w.idleProcess()
	if p == nil {
		return
	}
	switch w.choose.Pick(30, "action") {
	case 0, 1, 2:
		w.advance(time.Duration(w.choose.Pick(1500, "ms")) * time.Millisecond)
	case 3:
		w.advance(time.Duration(1+w.choose.Pick(6, "s")) * time.Second)
	case 4, 5, 6:
		w.newKey()
		w.submit(p, w.keys[len(w.keys)-1])
	case 7, 8, 9:
		if len(w.keys) > 0 {
			w.submit(p, w.pickKey())
		}
	case 10:
		if len(w.keys) > 0 {
			w.settle(p, w.pickKey())
		}
	case 11, 12:
		w.finishRun()
	case 13, 14:
		p.guard.Apply(w.store)
	case 15:
		w.plan(p)
	case 16, 17:
		w.resolveWrite(w.choose.Pick(max(1, len(w.writes)), "write"), w.choose.Pick(4, "kept") != 0)
	case 18, 19:
		w.requestPromises(p)
	case 20:
		w.advancePromise()
	case 21:
		w.rareEvent(p)
	default:
		w.healthyRound(p)
	}
}

// healthyRound is a round of one process in which nothing goes wrong.
func (w *world) healthyRound(p *modelProcess) {
	w.advance(time.Duration(w.choose.Pick(800, "round")) * time.Millisecond)
	p.guard.Apply(w.store)
	w.renewLease(p)
	for _, witness := range p.guard.Witnesses() {
		promise := &modelPromise{owner: p, witness: witness, sentAt: p.guard.BootNow()}
		if w.deliverPromise(promise); promise.granted {
			p.guard.PromiseReceived(witness, promise.sentAt)
		}
	}
}

// rareEvent restarts a process, renews a lease, drops old records or lets all long leases expire.
func (w *world) rareEvent(p *modelProcess) {
	switch w.choose.Pick(4, "rare") {
	case 0:
		w.start(p.host)
		w.renewLease(p.host.current())
	case 1:
		w.renewLease(p)
	case 2:
		p.guard.Forget()
	case 3:
		w.advance(w.options.LongLease)
	}
}

func (w *world) advance(d time.Duration) {
	w.now += d
}

// pickKey prefers recent keys.
func (w *world) pickKey() modelKey {
	back := w.choose.Pick(min(len(w.keys), 5), "key")
	return w.keys[len(w.keys)-1-back]
}

// newKey adds a key whose time is wrong by up to 8 s in either direction.
func (w *world) newKey() {
	offset := time.Duration(w.choose.Pick(16_000, "key time")-8_000) * time.Millisecond
	name := fmt.Sprintf("w/k%d", len(w.keys))
	w.keys = append(w.keys, modelKey{name: name, at: modelStart.Add(w.now + offset)})
}

func (w *world) submit(p *modelProcess, key modelKey) {
	outer := w.deciding
	if !w.nested {
		w.deciding = p
	}
	begun, refusal := p.guard.Begin(key.name, key.at, 1)
	w.deciding = outer
	if refusal != nil || !begun.Run {
		return
	}
	w.tracef("%s admits %s", p.name(), key.name)
	w.runs = append(w.runs, modelRun{process: p, record: begun.Record})
}

func (w *world) settle(p *modelProcess, key modelKey) {
	record, refusal := p.guard.Settle(key.name, key.at)
	if refusal != nil {
		return
	}
	if state, _ := p.guard.Snapshot(record); state == Closed {
		w.notRun[key.name] = true
		w.tracef("%s reports %s as not run", p.name(), key.name)
	}
}

func (w *world) finishRun() {
	if len(w.runs) == 0 {
		return
	}
	i := w.choose.Pick(len(w.runs), "run")
	run := w.runs[i]
	if w.nested && run.process == w.deciding {
		return
	}
	w.runs = append(w.runs[:i], w.runs[i+1:]...)
	w.runCounts[run.record.Key]++
	w.tracef("target runs %s for %s", run.record.Key, run.process.name())
	run.process.guard.End(run.record, Done, Outcome{})
}

// plan does what the agent's loop does up to the write. The write and its answer come later, or
// never.
func (w *world) plan(p *modelProcess) {
	peers := make([]Peer, 0, len(w.hosts))
	// A process only knows which incarnations were live some time ago.
	for _, host := range w.hosts {
		if host == p.host || w.choose.Pick(4, "seen") != 0 {
			peers = append(peers, Peer{Holder: host.current().guard.self, Leaving: w.choose.Pick(6, "leaving") == 0})
		}
	}
	plan, ok := p.guard.Plan(PlanInput{Peers: peers, Leases: w.leases, MaxMoves: modelSlots})
	if !ok {
		return
	}
	for successor, numbers := range plan.Moves {
		p.guard.Freeze(numbers)
		message := p.guard.Export(numbers)
		if w.choose.Pick(4, "hand over lost") != 0 {
			w.deliverImport(successor, message)
		}
	}
	p.guard.BeginChange(plan.Base, plan.TakesOver)
	w.tracef("%s sends a table based on version %d: %v", p.name(), plan.Base, plan.Reasons)
	w.writes = append(w.writes, &modelWrite{process: p, base: plan.Base, table: plan.Table})
}

func (w *world) deliverImport(to Holder, message *wire.HandOver) {
	for _, host := range w.hosts {
		for _, p := range host.processes {
			if p.guard.self == to && (!w.nested || p != w.deciding) {
				p.guard.Import(message)
			}
		}
	}
}

// resolveWrite lets one write reach the store, or drops it. The answer is never used: agents learn
// of changes by reading.
func (w *world) resolveWrite(i int, stored bool) {
	if len(w.writes) == 0 {
		return
	}
	write := w.writes[i]
	w.writes = append(w.writes[:i], w.writes[i+1:]...)
	if !stored || write.base != w.store.Version {
		return
	}
	version := w.store.Version + 1
	w.store = write.table.Clone()
	w.store.Version = version
	w.tracef("the store is at version %d", version)
}

func (w *world) renewLease(p *modelProcess) {
	if w.nested && p == w.deciding {
		return
	}
	sent := p.guard.BootNow()
	w.leases[p.host.name] = p.guard.NewLongLease()
	p.guard.SetLongLease(sent)
}

func (w *world) requestPromises(p *modelProcess) {
	for _, witness := range p.guard.Witnesses() {
		w.promises = append(w.promises, &modelPromise{owner: p, witness: witness, sentAt: p.guard.BootNow()})
	}
	for range len(w.promises) {
		if w.choose.Pick(3, "at once") != 0 {
			w.advancePromise()
		}
	}
}

// advancePromise moves one promise on: to the witness, then back to the owner, or loses it.
func (w *world) advancePromise() {
	if len(w.promises) == 0 {
		return
	}
	i := w.choose.Pick(len(w.promises), "promise")
	promise := w.promises[i]
	if w.nested && promise.owner == w.deciding {
		return
	}
	if promise.granted || w.choose.Pick(8, "lost") == 0 {
		w.promises = append(w.promises[:i], w.promises[i+1:]...)
		if promise.granted {
			promise.owner.guard.PromiseReceived(promise.witness, promise.sentAt)
		}
		return
	}
	w.deliverPromise(promise)
}

func (w *world) deliverPromise(promise *modelPromise) {
	for _, host := range w.hosts {
		for _, p := range host.processes {
			if p.guard.self == promise.witness && (!w.nested || p != w.deciding) {
				promise.granted = p.guard.GrantPromise(promise.owner.guard.self, promise.witness)
			}
		}
	}
}

// violation describes a broken guarantee; empty if there is none.
func (w *world) violation() string {
	for key, count := range w.runCounts {
		if count > 1 {
			return fmt.Sprintf("key %s ran %d times", key, count)
		}
		if w.notRun[key] {
			return fmt.Sprintf("key %s ran after a caller was told that it did not", key)
		}
	}
	return ""
}

// runModel runs a model for a number of steps and then ends all open runs.
func runModel(choose chooser, mutation mutation, steps int) (*world, string) {
	w := newWorld(choose, mutation)
	for range steps {
		w.action()
		if broken := w.violation(); broken != "" {
			return w, broken
		}
	}
	for len(w.runs) > 0 {
		w.finishRun()
	}
	return w, w.violation()
}
