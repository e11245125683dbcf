package peer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/capersaddle/capersaddle/internal/origin"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// The caller of a stream whose gateway is killed resumes it within a moment, so the records of streams
// that have just begun are sent first and soon. Records that are handed over to new keepers are many, and
// may wait: other keepers have them.

const (
	// freshShare and handOverShare are the average shares of the byte budget for the records of streams
	// that have just begun, and for records that are handed over. Both may use more while others leave
	// bytes unused.
	freshShare    = 0.7
	handOverShare = 0.1
	// spareShare is the part of a bucket that must be full for its bytes to count as spare.
	spareShare = 0.5
	// freshTime is how long after its start a stream counts as one that has just begun.
	freshTime = time.Second
	// maxOriginRecords limits the records in a datagram. originRecordSize is the maximum size of a record
	// and originBaseSize that of a datagram without any, in bytes.
	maxOriginRecords = 48
	originRecordSize = 20
	originBaseSize   = 32
	// minHandedOver is the least number of records in a datagram that hands over more than that.
	minHandedOver = 16
)

// originOutbox holds the records that are to be sent. It is not safe for concurrent use.
type originOutbox struct {
	queues map[*peer]*originQueue
	// fresh and handOver limit the bytes of both kinds of records.
	fresh, handOver *rate.Limiter
}

// originQueue holds the records for one gateway.
type originQueue struct {
	fresh, handOver []origin.Record
}

func newOriginOutbox(budget int) *originOutbox {
	burst := max(budget, receiveBuffer)
	return &originOutbox{
		queues:   make(map[*peer]*originQueue),
		fresh:    rate.NewLimiter(rate.Limit(freshShare*float64(budget)), burst),
		handOver: rate.NewLimiter(rate.Limit(handOverShare*float64(budget)), burst),
	}
}

// queue returns the queue for a gateway.
func (o *originOutbox) queue(to *peer) *originQueue {
	queue, ok := o.queues[to]
	if !ok {
		queue = new(originQueue)
		o.queues[to] = queue
	}
	return queue
}

// add adds a record that no other gateway has, for its keepers. A nil keeper stands for this gateway.
func (o *originOutbox) add(keepers []*peer, record unsentRecord, now time.Time) {
	isFresh := now.Sub(record.addedAt) < freshTime
	for _, to := range keepers {
		if to == nil {
			continue
		}
		queue := o.queue(to)
		if isFresh {
			queue.fresh = append(queue.fresh, record.Record)
		} else {
			queue.handOver = append(queue.handOver, record.Record)
		}
	}
}

// handOverTo adds a record for those of its keepers that did not keep it before.
func (o *originOutbox) handOverTo(keepers, before []*peer, record origin.Record) {
	for _, to := range keepers {
		if to != nil && !slices.Contains(before, to) {
			queue := o.queue(to)
			queue.handOver = append(queue.handOver, record)
		}
	}
}

// keepOnly drops what waits for gateways other than the given ones.
func (o *originOutbox) keepOnly(candidates []*peer) {
	for to, queue := range o.queues {
		if len(queue.fresh)+len(queue.handOver) == 0 || !slices.Contains(candidates, to) {
			delete(o.queues, to)
		}
	}
}

// inRandomOrder returns the gateways for which records wait: when bytes are short, none is always last.
func (o *originOutbox) inRandomOrder() []*peer {
	waiting := make([]*peer, 0, len(o.queues))
	for to := range o.queues {
		waiting = append(waiting, to)
	}
	rand.Shuffle(len(waiting), func(i, j int) { waiting[i], waiting[j] = waiting[j], waiting[i] })
	return waiting
}

// WaitingOrigins counts records of streams that wait to be sent to other gateways, once for each.
type WaitingOrigins struct {
	// New are those of streams that have just begun.
	New int
	// HandedOver are for gateways that have become their keepers, or of which the need was found late.
	HandedOver int
	// Unneeded are those that no other gateway needs while one version of their service is known to serve.
	Unneeded int
}

// WaitingOrigins counts the records of streams that wait to be sent.
func (s *Service) WaitingOrigins() WaitingOrigins {
	s.mu.Lock()
	defer s.mu.Unlock()
	var waiting WaitingOrigins
	for _, queue := range s.origins.outbox.queues {
		waiting.New += len(queue.fresh)
		waiting.HandedOver += len(queue.handOver)
	}
	s.origins.mu.Lock()
	defer s.origins.mu.Unlock()
	waiting.Unneeded = s.origins.unsentCount
	return waiting
}

// hasSpareBytes reports whether a bucket of bytes is so full that some need not be saved.
func hasSpareBytes(bucket *rate.Limiter) bool {
	return bucket.Tokens() >= spareShare*float64(bucket.Burst())
}

// sendFreshOrigins sends the records of streams that have just begun. The caller must hold s.mu.
func (s *Service) sendFreshOrigins(now time.Time) {
	outbox := s.origins.outbox
	for _, to := range outbox.inRandomOrder() {
		queue := outbox.queues[to]
		queue.fresh = s.sendOriginRecords(to, queue.fresh, outbox.fresh, 1, now)
	}
}

// sendHandedOverOrigins sends records to their new keepers. The caller must hold s.mu.
func (s *Service) sendHandedOverOrigins(now time.Time) {
	outbox := s.origins.outbox
	for _, to := range outbox.inRandomOrder() {
		queue := outbox.queues[to]
		queue.handOver = s.sendOriginRecords(to, queue.handOver, outbox.handOver, minHandedOver, now)
	}
}

// sendOriginRecords sends records to a gateway, those that last longest first, as far as their limiter
// or the spare bytes of the budget allow, and returns the others. A datagram carries at least minimum
// records, unless there are fewer.
func (s *Service) sendOriginRecords(to *peer, records []origin.Record, limiter *rate.Limiter, minimum int, now time.Time) []origin.Record {
	records = slices.DeleteFunc(records, func(record origin.Record) bool { return !record.Expires.After(now) })
	slices.SortFunc(records, func(a, b origin.Record) int {
		return cmp.Or(b.Expires.Compare(a.Expires), cmp.Compare(a.Stream, b.Stream))
	})
	for len(records) > 0 {
		limited, spare := limiter.Tokens(), s.bucket.Tokens()-spareShare*float64(s.bucket.Burst())
		count := min(int(max(limited, spare)-originBaseSize)/originRecordSize, len(records), maxOriginRecords)
		if count < min(minimum, len(records)) {
			return records
		}
		heartbeat := s.originHeartbeat(to, records[:count], now)
		if limited >= spare {
			limiter.ReserveN(time.Now(), proto.Size(heartbeat))
		}
		s.send(to.address, heartbeat, true)
		records = records[count:]
	}
	return nil
}

// originHeartbeat returns a heartbeat with records. A receiver that lacks the targets of their versions
// sees from the revision where to fetch them.
func (s *Service) originHeartbeat(to *peer, records []origin.Record, now time.Time) *wire.GatewayBeat {
	heartbeat := s.bareHeartbeatTo(to)
	if revision := s.options.Replica.PassedOn(); to.revision < revision {
		heartbeat.Revision = revision
	}
	for _, record := range records {
		heartbeat.StreamOrigins = append(heartbeat.StreamOrigins, originMessage(record, now))
	}
	return heartbeat
}

// originMessage returns the message for a record.
func originMessage(record origin.Record, now time.Time) *wire.StreamOrigin {
	return &wire.StreamOrigin{
		Stream:  uint64(record.Stream),
		Version: uint32(record.Version),
		LastsS:  uint32(math.Ceil(record.Expires.Sub(now).Seconds())),
	}
}
