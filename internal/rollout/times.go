package rollout

import "time"

// Times of a rollout as fractions of the order's time.
const (
	// moveStart is when a version that is judged good may get all requests. It is late, to detect
	// a version that turns bad late, but leaves time for the store to fail and recover once.
	moveStart = 0.7
	// cleanMoveStart is the same for a version with too few answers for a verdict, all of which
	// are as good as the others'. It applies to services with few requests.
	cleanMoveStart = 0.8
	// verdictDeadline is when a version that is neither proved good nor clean is rolled back. It
	// is before the deadline, since operators must see the end by then.
	verdictDeadline = 0.9
)

const (
	// orderLag is how long orders usually take from operators to gateways. The deadline counts
	// from when operators gave the order.
	orderLag = 400 * time.Millisecond
	// orderLagPart limits it for short orders, as a fraction of their time.
	orderLagPart = 0.1
	// baseReportInterval is the time between two reports. A version that turns bad is detected
	// soon, at the cost of four small messages a second from each gateway.
	baseReportInterval = 250 * time.Millisecond
	// defaultRollback is the time in which a bad version stops getting requests if operators set
	// none: some reports, a verdict, and the expiry of a grant.
	defaultRollback = 5 * time.Second
	// baseReportGateways is the number of gateways up to which they report this often. With more
	// gateways the decider gets as many reports per second as from this number.
	baseReportGateways = 64
	// maxReportIntervalPart is the longest time between reports, as a fraction of the rollback
	// time. The rest is for the verdict and the way back.
	maxReportIntervalPart = 0.25
	// grantIntervals is the validity of a grant in report intervals, which is how many reports
	// may be lost before a gateway stops by itself.
	grantIntervals = 2.5
	// minGrant is the shortest validity of grants, since packets may be lost in a row.
	minGrant = 1200 * time.Millisecond
	// maxGrantPart limits the validity of grants, as a fraction of the rollback time, so that a
	// partitioned gateway stops in time.
	maxGrantPart = 0.6
	// reportGrace is how late a report may be for its gateway to count as reporting. It covers
	// the jitter of heartbeats and the network delay.
	reportGrace = 300 * time.Millisecond
	// unspentEntryPart is the part of the time until gateways receive the grant of a move that
	// counts as not spent yet, since reports may come a little sooner.
	unspentEntryPart = 0.8
	// entryMargin is the network delay of grants and the reports that follow them.
	entryMargin = 100 * time.Millisecond
	// commitReserve is the time that a move leaves to the store, whose answers take a few
	// milliseconds, and rarely a few hundred.
	commitReserve = 250 * time.Millisecond
	// holdMargin is how long before the end of a move the store must have answered. Grants count
	// from the sending of a report, so those of more distant gateways end sooner.
	holdMargin = 100 * time.Millisecond
	// elapsedInterval is how often a running record is rewritten for the time elapsed since the
	// order. It costs one call of the store per interval, and limits the time lost if all
	// gateways restart.
	elapsedInterval = 4 * time.Second
	// commitTimeout limits a commit that isn't limited by the end of a move.
	commitTimeout = 800 * time.Millisecond
	// minMoveReports is the number of reports of each gateway that a move lasts for at least, if
	// the share covers it. A version that fails only under the load of all requests is detected
	// and rolled back before the other versions are given up.
	minMoveReports = 3
	// maxMove limits a move: most answers that the other versions have begun end by then.
	maxMove = 3 * time.Second
	// rateWindow is the time over which the request rate is measured. It is short enough to show
	// bursts, and longer than single reports.
	rateWindow = 2 * time.Second
	// minSampleInterval is the least time between two samples: over a shorter time, a few
	// requests more or less would look like another rate.
	minSampleInterval = 200 * time.Millisecond
	// rateMargin is the factor by which the request rate may grow in a move, including the
	// retries of requests to a version that fails after all.
	rateMargin = 1.3
	// soleVersionDelay is how long a service must have had no targets of other versions to count
	// as moved, since entries may expire with the store's history and come back.
	soleVersionDelay = 4 * time.Second
	// maxSoleGap is the longest time between two evaluations in which soleVersionDelay goes on. Entries that
	// come back in a longer one may not be known after it.
	maxSoleGap = time.Second
	// replicaReadTime is how long after a record was read an order that was not seen counts as
	// withdrawn: the replica has been read completely by then.
	replicaReadTime = 5 * time.Second
)

// reportInterval returns the time between reports for a number of gateways.
func reportInterval(options Options, gateways int) time.Duration {
	interval := max(baseReportInterval, baseReportInterval*time.Duration(gateways)/baseReportGateways)
	return min(interval, scale(options.rollback(), maxReportIntervalPart))
}

// grantDuration returns the validity of a grant.
func grantDuration(options Options, every time.Duration) time.Duration {
	return min(max(scale(every, grantIntervals), minGrant), scale(options.rollback(), maxGrantPart))
}

// rollback returns the rollback time, or the default if none is set.
func (o Options) rollback() time.Duration {
	if o.Rollback <= 0 {
		return defaultRollback
	}
	return o.Rollback
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// deadlineOf returns the deadline of an order, or that of an earlier order if it is later.
func deadlineOf(order Order, since, notBefore time.Time) time.Time {
	lag := min(orderLag, scale(order.Duration, orderLagPart))
	return laterTime(since.Add(order.Duration-lag), notBefore)
}
