package balance

import lru "github.com/hashicorp/golang-lru/v2"

// mostSessions bounds how many sessions are remembered; a forgotten one costs
// a guess at where its prefix is.
const mostSessions = 20000

// sessions remembers at which target each session ran last.
type sessions struct {
	cache *lru.Cache[string, string]
}

func newSessions() *sessions {
	cache, err := lru.New[string, string](mostSessions)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return &sessions{cache: cache}
}

// last is the target that ran the session last; empty if unknown.
func (s *sessions) last(session string) string {
	target, _ := s.cache.Get(session)
	return target
}

func (s *sessions) note(session, target string) {
	s.cache.Add(session, target)
}
