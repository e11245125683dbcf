package rollout

import "math"

const (
	// longWindow and shortWindow are how many of the other versions' last answers
	// the base is taken from: the long one for its precision, the short one as it shows
	// trouble that strikes both sides within a fraction of a second's traffic. The larger
	// of the two shares counts.
	longWindow  = 120
	shortWindow = 30
	// priorAnswers is how many answers the mean over the routes counts for, where a route
	// has few of its own.
	priorAnswers = 10
	// toleratedStdErrors is by how many standard errors the base may be larger than it
	// was seen: a good version must not pay for luck of the others.
	toleratedStdErrors = 0.5
	// shortWindowNoise is by how much the short share may be larger than the long one by luck,
	// where one answer in seven is troubled.
	shortWindowNoise = 0.1
	// minBaseFailures is the least share of failures that a good version is granted: one
	// failure in fifty is no sign where the others had none.
	minBaseFailures = 0.02
	// minBaseSlow is the same for slow answers. It is larger: fresh targets have read fewer
	// prompts, and other hardware has another pace.
	minBaseSlow = 0.05
)

// recent is a share of troubled answers among the last ones. Older answers fade as new
// ones come.
type decayingShare struct {
	answers, troubled float64
}

func (r *decayingShare) add(answers, troubled int, maxAnswers float64) {
	r.answers += float64(answers)
	r.troubled += float64(troubled)
	if r.answers > maxAnswers {
		r.troubled *= maxAnswers / r.answers
		r.answers = maxAnswers
	}
}

// share is that of the troubled ones, leaning to a prior one where there are few.
func (r *decayingShare) share(prior float64) float64 {
	return (r.troubled + prior*priorAnswers) / (r.answers + priorAnswers)
}

// baseline is how the other versions answer now, on one route and of one kind of trouble.
type baseline struct {
	long, short decayingShare
}

func (b *baseline) add(answers, troubled int) {
	b.long.add(answers, troubled, longWindow)
	b.short.add(answers, troubled, shortWindow)
}

// rise is by how much the share is larger now than it was on average; negative if it is
// smaller.
func (b *baseline) rise() float64 {
	long := b.long.share(0)
	return b.short.share(long) - long
}

// of is the share of troubled answers that a good version may have. The service is how
// the others answer on all routes: a route with few answers is taken to be like it, and
// to have its rise, as it would show it late.
func (b *baseline) tolerated(service *baseline, floor float64) float64 {
	long := b.long.share(service.long.share(0))
	short := b.short.share(long)
	stdError := math.Sqrt(long * (1 - long) / (b.long.answers + priorAnswers))
	// A rise that is more than luck has not come to its end in the short share yet.
	trend := max(short-long-shortWindowNoise, 0)
	return min(max(long+toleratedStdErrors*stdError, short+trend, long+service.rise(), floor), 1)
}
