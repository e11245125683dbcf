package balance

import "slices"

// Versions restricts which versions of a service's targets may take a request. The zero value
// admits all.
type Versions struct {
	// Only is the single version that may be admitted; empty means all may be.
	Only string
	// Excluded lists the versions that are not admitted, Only among them if it is listed.
	Excluded []string
	// Preferred is the version that takes the request while one of its targets is open; empty
	// for none.
	Preferred string
	// Share is the fraction of the traffic that targets of Only get together. Only so many of
	// them take requests that each is as loaded as one of the other targets: the first in the
	// order given by Seed. Zero selects all of them.
	Share float64
	Seed  uint64
}

// Any reports whether all versions are admitted without preference.
func (v Versions) Any() bool {
	return v.Only == "" && len(v.Excluded) == 0 && v.Preferred == ""
}

// Admits reports whether targets of a version may take the request.
func (v Versions) Admits(version string) bool {
	if v.Only != "" && version != v.Only {
		return false
	}
	return !slices.Contains(v.Excluded, version)
}
