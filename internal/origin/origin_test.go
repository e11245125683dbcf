package origin_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/capersaddle/capersaddle/internal/origin"
)

var start = time.Unix(1000, 0)

// TestTableMerges checks that a stream whose records differ is certain in no order of arrival, and
// that records are kept until the last of them expires and no longer.
func TestTableMerges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		versions := rapid.SliceOfN(rapid.Uint32Range(1, 2), 1, 5).Draw(t, "versions")
		table := origin.NewTable()
		last, want := start, origin.Version(versions[0])
		for i, version := range versions {
			expires := start.Add(time.Duration(rapid.IntRange(2, 9).Draw(t, "expires")) * time.Second)
			if expires.After(last) {
				last = expires
			}
			if origin.Version(version) != want {
				want = origin.Uncertain
			}
			table.Put(origin.Record{Stream: 7, Version: origin.Version(version), Expires: expires}, start.Add(time.Duration(i)*time.Millisecond))
		}
		got, ok := table.Get(7, last.Add(-time.Millisecond))
		is.True(ok)
		is.Equal(got.Version, want)
		is.Equal(got.Expires, last)
		_, ok = table.Get(7, last)
		is.True(!ok)
		_, ok = table.Get(8, start)
		is.True(!ok)
	})
}

// TestTableForgets guards against a table that grows with the streams of the past.
func TestTableForgets(t *testing.T) {
	is := is.New(t)
	table := origin.NewTable()
	for i := range 10_000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		table.Put(origin.Record{Stream: origin.Stream(i), Version: 1, Expires: now.Add(5 * time.Second)}, now)
	}
	is.True(table.Len() <= 601) // a hundred a second for 5 s, and those of the second before a sweep
	is.True(len(table.Records(start.Add(100*time.Second))) <= 500)
}

// TestIdentifiers checks that streams are those of a workspace and versions those of a service.
func TestIdentifiers(t *testing.T) {
	is := is.New(t)
	is.True(origin.StreamOf("a", "1") != origin.StreamOf("b", "1"))
	is.True(origin.StreamOf("a", "1") != origin.StreamOf("a", "2"))
	is.True(origin.VersionOf("s", "1") != origin.VersionOf("t", "1"))
	is.True(origin.VersionOf("s", "1") != origin.VersionOf("s", "2"))
	is.True(origin.VersionOf("s", "1") != origin.Uncertain)
}
