package retrybudget

import "time"

// expiringBuckets is the number of buckets that the life of a count is divided into.
const expiringBuckets = 4

// expiringCount counts what expires after expiringBuckets times the width, or up to one width
// earlier.
type expiringCount struct {
	width  time.Duration
	start  time.Time
	counts [expiringBuckets]int
	// newest is the number of the newest bucket, counted from start.
	newest int64
}

// add counts one more.
func (c *expiringCount) add(now time.Time) {
	c.advance(now)
	c.counts[c.newest%expiringBuckets]++
}

// take removes the oldest one; false if there is none.
func (c *expiringCount) take(now time.Time) bool {
	c.advance(now)
	for age := int64(expiringBuckets - 1); age >= 0; age-- {
		bucket := (c.newest - age + expiringBuckets) % expiringBuckets
		if c.counts[bucket] > 0 {
			c.counts[bucket]--
			return true
		}
	}
	return false
}

// advance removes what has expired.
func (c *expiringCount) advance(now time.Time) {
	current := int64(now.Sub(c.start) / c.width)
	for steps := 0; c.newest < current && steps < expiringBuckets; steps++ {
		c.newest++
		c.counts[c.newest%expiringBuckets] = 0
	}
	c.newest = max(c.newest, current)
}
