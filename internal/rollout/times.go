package rollout

import "time"

// Times of a roll-out as parts of the order's time.
const (
	// moveStart is when a version that is judged good may get all: as late as leaves time
	// for the store to fail and come back once, since what turns bad late is seen so.
	moveStart = 0.7
	// cleanMoveStart is the same for a version with too few answers for a verdict, all of
	// them as good as the others': services with few requests.
	cleanMoveStart = 0.8
	// verdictDeadline is when a version that has neither proved good nor is clean is rolled
	// back: before the deadline, since operators are to read the end by then.
	verdictDeadline = 0.9
)

const (
	// orderLag is how long orders usually are on their way from operators to gateways;
	// the deadline is reckoned from the operators' moment.
	orderLag = 400 * time.Millisecond
	// orderLagPart bounds it for short orders, as a part of their time.
	orderLagPart = 0.1
	// baseReportInterval is the time between two reports: a version that turns bad is seen
	// soon, at four small messages a second from each gateway.
	baseReportInterval = 250 * time.Millisecond
	// defaultRollback is how long a bad version may still get requests where operators
	// state nothing: some reports, a judgement, and a grant that runs out.
	defaultRollback = 5 * time.Second
	// baseReportGateways is up to how many gateways they come so often; among more, the one
	// that decides gets as many a second as from these.
	baseReportGateways = 64
	// maxReportIntervalPart is the longest time between reports, as a part of the bound for rolling
	// back: what is left is for the judgement and the way back.
	maxReportIntervalPart = 0.25
	// grantIntervals is how many reports may be lost before a gateway stops by itself.
	grantIntervals = 2.5
	// minGrant bounds the time of grants below: some packets are lost in a row.
	minGrant = 1200 * time.Millisecond
	// maxGrantPart bounds it above, as a part of the bound for rolling back: a gateway that
	// is cut off is to stop in time.
	maxGrantPart = 0.6
	// reportGrace is how much later than due a report may be for its gateway to count
	// as heard: a beat's jitter, and the way.
	reportGrace = 300 * time.Millisecond
	// unspentEntryPart is how much of the time until gateways hear of a move counts as not
	// spent yet: reports may come a little sooner.
	unspentEntryPart = 0.8
	// entryMargin is how long grants and the reports that follow them are on their way.
	entryMargin = 100 * time.Millisecond
	// commitReserve is what a move leaves to the store: its answers take a few
	// milliseconds, seldom some hundred.
	commitReserve = 250 * time.Millisecond
	// holdMargin is how long before the end of a move the store's answer is due: grants
	// are counted from a report's sending, so those of gateways farther away end sooner.
	holdMargin = 100 * time.Millisecond
	// elapsedInterval is how often a running record is written anew, for the time since the
	// order: one call for the store in so long, and so much lost if all begin anew.
	elapsedInterval = 4 * time.Second
	// commitTimeout bounds a commit that no move's end bounds.
	commitTimeout = 800 * time.Millisecond
	// minMoveReports is how many reports of each gateway a move lasts for at least, where the
	// share covers it: a version that fails only under the load of all requests is
	// seen to, and rolled back, before the others are given up.
	minMoveReports = 3
	// maxMove bounds a move: most answers that the others have begun end by then.
	maxMove = 3 * time.Second
	// rateWindow is over what time the rate of requests is measured: bursts show, single
	// reports don't.
	rateWindow = 2 * time.Second
	// minSampleInterval is the time between two samples at least: over less, a few requests
	// more or fewer look like another rate.
	minSampleInterval = 200 * time.Millisecond
	// rateMargin is how much faster than measured requests may come in a move, together
	// with the further attempts at a version that fails after all.
	rateMargin = 1.3
	// soleVersionDelay is for how long a service must have had no targets of other versions to
	// count as moved: entries may lapse with the store's history, and come again.
	soleVersionDelay = 4 * time.Second
	// replicaReadTime is how long after a record was read an order that was not seen counts
	// as withdrawn: the replica has been read whole by then.
	replicaReadTime = 5 * time.Second
)

// reportInterval is the time between reports among so many gateways.
func reportInterval(options Options, gateways int) time.Duration {
	interval := max(baseReportInterval, baseReportInterval*time.Duration(gateways)/baseReportGateways)
	return min(interval, scale(options.rollback(), maxReportIntervalPart))
}

// grantDuration is how long a grant holds.
func grantDuration(options Options, every time.Duration) time.Duration {
	return min(max(scale(every, grantIntervals), minGrant), scale(options.rollback(), maxGrantPart))
}

// rollback is the bound for rolling back, or a usual one where none is stated.
func (o Options) rollback() time.Duration {
	if o.Rollback <= 0 {
		return defaultRollback
	}
	return o.Rollback
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// deadlineOf is the operators' deadline, or a later one of an earlier order.
func deadlineOf(order Order, since, notBefore time.Time) time.Time {
	lag := min(orderLag, scale(order.Duration, orderLagPart))
	return laterTime(since.Add(order.Duration-lag), notBefore)
}
