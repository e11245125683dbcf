// Package checkpoint saves in the store what gateways need when all of them restart at the same
// time: where parts of prompts are cached, and the targets, whose own entries may have expired
// while the store was unreachable. The checkpoint is only a hint. A wrong or old one costs reads,
// or an attempt that its target refuses, but breaks no guarantee. So the last writer wins. It also holds
// the requests that are held back, and so no write replaces one that the store acknowledged after it was
// sent.
package checkpoint

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/periodic"
	"github.com/capersaddle/capersaddle/internal/quarantine"
	"github.com/capersaddle/capersaddle/internal/wire"
)

const (
	// saveEvery is the minimum time between two checkpoints.
	saveEvery = 2500 * time.Millisecond
	// maxAge is how old a checkpoint may get while only minor changes are pending: less than
	// minorChangeShare of its placements and none of its targets.
	maxAge           = 10 * time.Second
	minorChangeShare = 1.0 / 16
	// saveTimeout limits one call to the store.
	saveTimeout = 800 * time.Millisecond
	// maxParts limits the checkpoint to the prompt parts that were used last.
	maxParts = 8192
	// maxHeldBack limits the held back requests in it, at 70 bytes each.
	maxHeldBack = 256
)

// Store stores the checkpoint.
type Store interface {
	// SaveCheckpoint replaces the checkpoint, and the number of gateways, which is stored beside
	// it so that a process can read it on its own.
	SaveCheckpoint(ctx context.Context, data []byte, gateways int) error
}

// Saver writes the checkpoint while this process is its writer.
type Saver struct {
	*periodic.Task
	balancer *balance.Balancer
	store    Store
	// isWriter reports whether this process is to write now.
	isWriter func() bool
	onCall   func(err error)
	// HeldBack returns the requests that are held back; nil if there are none. It is set before
	// Start.
	HeldBack func() []quarantine.Record

	last Content
	// savedAt is when last was saved.
	savedAt time.Time
}

// Content is the content of a checkpoint.
type Content struct {
	Placements []balance.Placement
	// Targets are those that took work when the checkpoint was written, ordered by ID.
	Targets []balance.Target
	// Gateways is the number of gateways; zero if unknown.
	Gateways int
	// HeldBack are the requests that are held back because targets crashed during them, at most
	// maxHeldBack, those with the most crashes first.
	HeldBack []quarantine.Record
}

func (c Content) equal(other Content) bool {
	return slices.Equal(c.Placements, other.Placements) && c.sameTargetsAndHeldBack(other)
}

// sameTargetsAndHeldBack reports whether both contents have the same targets and held back
// requests.
func (c Content) sameTargetsAndHeldBack(other Content) bool {
	return slices.EqualFunc(c.Targets, other.Targets, sameTarget) && slices.EqualFunc(c.HeldBack, other.HeldBack, quarantine.Record.Equal)
}

// sameTarget reports whether two targets differ at most in how much longer they are cold: a checkpoint
// that says too long of a target is on the safe side.
func sameTarget(a, b balance.Target) bool {
	if (a.ColdFor > 0) != (b.ColdFor > 0) {
		return false
	}
	a.ColdFor = b.ColdFor
	return a == b
}

// NewSaver returns a saver; Start starts it. onCall is called with the result of each call.
func NewSaver(balancer *balance.Balancer, store Store, isWriter func() bool, onCall func(err error)) *Saver {
	s := &Saver{balancer: balancer, store: store, isWriter: isWriter, onCall: onCall}
	s.Task = periodic.New(saveEvery, s.save)
	return s
}

// save writes a checkpoint if this process is the writer and there is something new. The next call
// makes up for a failed one.
func (s *Saver) save(ctx context.Context) {
	if !s.isWriter() {
		return
	}
	content := Content{Placements: s.balancer.AllPlacements(maxParts), Targets: s.balancer.Working(clock.Now()), Gateways: s.balancer.Gateways().Count}
	if s.HeldBack != nil {
		heldBack := s.HeldBack()
		content.HeldBack = heldBack[:min(len(heldBack), maxHeldBack)]
	}
	if len(content.Placements) == 0 && len(content.Targets) == 0 {
		return
	}
	sortedContent := Content{Placements: sorted(content.Placements), Targets: content.Targets, HeldBack: content.HeldBack}
	now := clock.Now()
	if sortedContent.equal(s.last) || now.Sub(s.savedAt) < maxAge && sortedContent.isMinorChange(s.last) {
		return
	}
	data, err := Encode(content)
	if err != nil {
		s.onCall(err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	err = s.store.SaveCheckpoint(ctx, data, content.Gateways)
	s.onCall(err)
	if err == nil {
		s.last, s.savedAt = sortedContent, now
	}
}

// isMinorChange reports whether little is new compared with another content: no change of targets
// or held back requests, and few new placements. Both contents are sorted.
func (c Content) isMinorChange(other Content) bool {
	if !c.sameTargetsAndHeldBack(other) {
		return false
	}
	added := 0
	for _, placement := range c.Placements {
		if _, found := slices.BinarySearchFunc(other.Placements, placement, balance.ComparePlacements); !found {
			added++
		}
	}
	return float64(added) < minorChangeShare*float64(len(other.Placements))
}

// sorted returns the placements in an order that does not depend on their use.
func sorted(placements []balance.Placement) []balance.Placement {
	ordered := slices.Clone(placements)
	slices.SortFunc(ordered, balance.ComparePlacements)
	return ordered
}

// Encode encodes the content.
func Encode(content Content) ([]byte, error) {
	message := &wire.PlacementCheckpoint{Gateways: uint32(min(max(content.Gateways, 0), math.MaxInt32))}
	for _, target := range content.Targets {
		encoded := targetMessage(target)
		if !target.WeightsUnknown {
			encoded.Weights = proto.Uint32(placeOf(target.Weights, message))
		}
		message.Targets = append(message.Targets, encoded)
	}
	for _, record := range content.HeldBack {
		message.HeldBack = append(message.HeldBack, record.Message())
	}
	for _, placement := range content.Placements {
		message.Parts = append(message.Parts, placement.Part)
		message.Holders = append(message.Holders, placement.Target)
	}
	data, err := proto.Marshal(message)
	return data, errors.Wrap(err, "encode checkpoint")
}

// placeOf returns the place of a target's weights in the message's list, to which it adds new ones.
func placeOf(weights string, message *wire.PlacementCheckpoint) uint32 {
	place := slices.Index(message.GetWeights(), weights)
	if place < 0 {
		place = len(message.GetWeights())
		message.Weights = append(message.Weights, weights)
	}
	return uint32(place)
}

// targetMessage returns the message for a target, without its weights.
func targetMessage(target balance.Target) *wire.CheckpointTarget {
	message := &wire.CheckpointTarget{
		Id:         target.ID,
		Service:    target.Service,
		Address:    target.Address,
		DataCenter: target.DataCenter,
		Slots:      int32(min(target.Slots, math.MaxInt32)),
		Born:       target.Born,
		ColdForMs:  uint32(min(max(target.ColdFor.Milliseconds(), 0), math.MaxInt32)),
	}
	if !target.VersionUnknown {
		message.Version = &target.Version
	}
	return message
}

// targetOf returns the target in a message, given the checkpoint's list of weights.
func targetOf(message *wire.CheckpointTarget, weights []string) balance.Target {
	target := balance.Target{
		ID:             message.GetId(),
		Service:        message.GetService(),
		Address:        message.GetAddress(),
		DataCenter:     message.GetDataCenter(),
		Slots:          int(message.GetSlots()),
		Born:           message.GetBorn(),
		Version:        message.GetVersion(),
		VersionUnknown: message.Version == nil,
		ColdFor:        time.Duration(min(message.GetColdForMs(), math.MaxInt32)) * time.Millisecond,
		WeightsUnknown: message.Weights == nil || int(message.GetWeights()) >= len(weights),
	}
	if !target.WeightsUnknown {
		target.Weights = weights[message.GetWeights()]
	}
	return target
}

// Decode decodes what Encode returned.
func Decode(data []byte) (Content, error) {
	message := new(wire.PlacementCheckpoint)
	if err := proto.Unmarshal(data, message); err != nil {
		return Content{}, errors.Wrap(err, "decode checkpoint")
	}
	parts, targets := message.GetParts(), message.GetHolders()
	if len(parts) != len(targets) {
		return Content{}, errors.Newf("decode checkpoint: %d parts and %d targets", len(parts), len(targets))
	}
	content := Content{Placements: make([]balance.Placement, 0, len(parts)), Gateways: int(min(message.GetGateways(), math.MaxInt32))}
	for i, part := range parts {
		content.Placements = append(content.Placements, balance.Placement{Part: part, Target: targets[i]})
	}
	for _, target := range message.GetTargets() {
		content.Targets = append(content.Targets, targetOf(target, message.GetWeights()))
	}
	for _, record := range message.GetHeldBack() {
		content.HeldBack = append(content.HeldBack, quarantine.RecordOf(record))
	}
	return content, nil
}
