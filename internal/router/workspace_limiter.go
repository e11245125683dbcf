package router

import "sync"

// workspaceLimiter counts the requests in flight by workspace.
type workspaceLimiter struct {
	mu    sync.Mutex
	count map[string]int
}

func newWorkspaceLimiter() *workspaceLimiter {
	return &workspaceLimiter{count: make(map[string]int)}
}

// acquire reserves one request of a workspace; zero means no limit.
func (l *workspaceLimiter) acquire(workspace string, limit int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit > 0 && l.count[workspace] >= limit {
		return false
	}
	l.count[workspace]++
	return true
}

func (l *workspaceLimiter) release(workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count[workspace]--
	if l.count[workspace] == 0 {
		delete(l.count, workspace)
	}
}
