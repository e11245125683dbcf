package rollout

import "math"

const (
	// longWindow and shortWindow are the numbers of recent answers of the other versions that the
	// baseline is computed from. The long window gives precision. The short one shows trouble that
	// affects both sides within a fraction of a second of traffic. The larger of the two shares
	// counts.
	longWindow  = 120
	shortWindow = 30
	// priorAnswers is the weight, in answers, of the mean over all routes in a route's share. It
	// matters on routes with few answers of their own.
	priorAnswers = 10
	// toleratedStdErrors is the number of standard errors by which the baseline may exceed the
	// measured share, so that a good version isn't penalized for random variation in the others'
	// answers.
	toleratedStdErrors = 0.5
	// shortWindowNoise is the excess of the short window's share over the long one's that is put
	// down to chance. It is sized for services where one answer in seven is troubled.
	shortWindowNoise = 0.1
	// minBaseFailures is the smallest share of failures tolerated in a good version: one failure
	// in fifty is no evidence, even if the others had none.
	minBaseFailures = 0.02
	// minBaseSlow is the same for slow answers. It is larger, since newly started targets have
	// cached fewer prompts, and different hardware has a different pace.
	minBaseSlow = 0.05
)

// decayingShare is the share of troubled answers among the most recent ones. The weight of older
// answers decays as new ones arrive.
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

// share returns the share of troubled answers, which tends to prior when there are few answers.
func (r *decayingShare) share(prior float64) float64 {
	return (r.troubled + prior*priorAnswers) / (r.answers + priorAnswers)
}

// baseline is the current share of troubled answers of the other versions, for one route and one
// kind of trouble.
type baseline struct {
	long, short decayingShare
}

func (b *baseline) add(answers, troubled int) {
	b.long.add(answers, troubled, longWindow)
	b.short.add(answers, troubled, shortWindow)
}

// rise returns how much the share now exceeds its long-term mean. It is negative if the share has
// fallen.
func (b *baseline) rise() float64 {
	long := b.long.share(0)
	return b.short.share(long) - long
}

// tolerated returns the share of troubled answers that a good version may have, at least floor.
// service is the baseline of the others over all routes: a route with few answers is assumed to
// resemble it, and to share its rise, which the route's own answers would show late.
func (b *baseline) tolerated(service *baseline, floor float64) float64 {
	long := b.long.share(service.long.share(0))
	short := b.short.share(long)
	stdError := math.Sqrt(long * (1 - long) / (b.long.answers + priorAnswers))
	// The short window hasn't caught up yet with a rise that exceeds the noise.
	trend := max(short-long-shortWindowNoise, 0)
	return min(max(long+toleratedStdErrors*stdError, short+trend, long+service.rise(), floor), 1)
}
