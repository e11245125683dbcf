package retrybudget

import "time"

// expiringBuckets is the number of buckets that the life of a count is divided into.
const expiringBuckets = 4

// expiringCount counts what expires after expiringBuckets times the width, or up to one width
// earlier. expire sets the time of the other methods.
type expiringCount struct {
	width  time.Duration
	start  time.Time
	counts [expiringBuckets]int
	// newest is the number of the newest bucket, counted from start.
	newest int64
}

// expire removes what has expired, and returns how much that was.
func (c *expiringCount) expire(now time.Time) int {
	expired := 0
	current := int64(now.Sub(c.start) / c.width)
	for steps := 0; c.newest < current && steps < expiringBuckets; steps++ {
		c.newest++
		expired += c.counts[c.newest%expiringBuckets]
		c.counts[c.newest%expiringBuckets] = 0
	}
	c.newest = max(c.newest, current)
	return expired
}

// add counts one more.
func (c *expiringCount) add() {
	c.counts[c.newest%expiringBuckets]++
}

// take removes the oldest one; false if there is none.
func (c *expiringCount) take() bool {
	for age := int64(expiringBuckets - 1); age >= 0; age-- {
		bucket := (c.newest - age + expiringBuckets) % expiringBuckets
		if c.counts[bucket] > 0 {
			c.counts[bucket]--
			return true
		}
	}
	return false
}
