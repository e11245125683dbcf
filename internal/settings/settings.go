// Package settings reads a process's settings: JSON with comments, checked
// whole, with errors that name file, line, what was found and what is wanted.
package settings

import (
	"time"

	"github.com/capersaddle/capersaddle/internal/admission"
	"github.com/capersaddle/capersaddle/internal/agent"
	"github.com/capersaddle/capersaddle/internal/member"
	"github.com/capersaddle/capersaddle/internal/once"
	"github.com/capersaddle/capersaddle/internal/secure"
)

// Duration is a time written as "250ms", "8s" or "12h".
type Duration time.Duration

// Settings are one process's settings.
type Settings struct {
	// Role is "router" or "agent".
	Role       string `json:"role"`
	ID         string `json:"id"`
	DataCenter string `json:"data_center"`
	// Callers is the router's address for callers, IP:port.
	Callers string `json:"callers,omitempty"`
	// Operators serves operators' calls and metrics, IP:port.
	Operators string `json:"operators"`
	// Link is the TCP address for other processes, IP:port.
	Link string `json:"link"`
	// Beat is the UDP address for membership, IP:port.
	Beat string `json:"beat"`
	// Seeds are beat addresses of other processes, IP:port.
	Seeds []string `json:"seeds"`
	// Store and Hosts are the platform's, http://IP:port.
	Store string `json:"store"`
	Hosts string `json:"hosts,omitempty"`
	// Host is this host's id in the host list.
	Host string `json:"host,omitempty"`
	// Targets are an agent's.
	Targets []Target `json:"targets,omitempty"`
	// TLS are the process's keys; links are not encrypted without them.
	TLS TLS `json:"tls"`
	// OperatorKeyHash is the hex SHA-256 of the operators' key.
	OperatorKeyHash string     `json:"operator_key_hash,omitempty"`
	Log             Log        `json:"log"`
	Admission       Admission  `json:"admission"`
	Cache           Cache      `json:"cache"`
	Once            Once       `json:"once"`
	Membership      Membership `json:"membership"`
	// Timeout bounds a request at a router.
	Timeout Duration `json:"timeout,omitempty"`
	// MaxBody bounds a request's body, in bytes.
	MaxBody int64 `json:"most_body,omitempty"`
}

// Target is one back end beside an agent.
type Target struct {
	ID string `json:"id"`
	// Kind is "engine" or "service".
	Kind string `json:"kind"`
	// Pool is the model of an engine or the service's name; empty for a
	// managed engine.
	Pool string `json:"pool"`
	// Managed engines are given their model by the placements.
	Managed bool `json:"managed,omitempty"`
	// URL is http://IP:port.
	URL string `json:"url"`
}

// TLS are keys, each as PEM text or as the path of a file.
type TLS struct {
	CA   string `json:"ca,omitempty"`
	Cert string `json:"cert,omitempty"`
	Key  string `json:"key,omitempty"`
	// Operators asks for certificates on the operators' address too.
	Operators bool `json:"operators,omitempty"`
}

// Source gives the keys' place.
func (t TLS) Source() secure.Source {
	return secure.Source{CA: t.CA, Cert: t.Cert, Key: t.Key}
}

// Log says how to log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `json:"level,omitempty"`
	// Format is text or json.
	Format string `json:"format,omitempty"`
}

// Admission are the gate's bounds; zero takes the default.
type Admission struct {
	Factor      float64  `json:"factor,omitempty"`
	Floor       int      `json:"floor,omitempty"`
	MaxInFlight int      `json:"most,omitempty"`
	QueueCount  int      `json:"queue_count,omitempty"`
	QueueBytes  int64    `json:"queue_bytes,omitempty"`
	Patience    Duration `json:"patience,omitempty"`
}

// Cache describes the engines' prefix caches to their agent; zero takes the
// default. A wrong value costs reuse, never a promise.
type Cache struct {
	// Tokens is how many tokens an engine's cache holds.
	Tokens int64 `json:"tokens,omitempty"`
	// PrefillPerSecond is how many uncached tokens an engine takes in.
	PrefillPerSecond float64 `json:"prefill_per_second,omitempty"`
	// HomeWaitFactor is how long a chat may wait for the engine that holds
	// it, in multiples of the time that this saves.
	HomeWaitFactor float64 `json:"home_wait_factor,omitempty"`
	// KeepOnLeave leaves the cache where it is when a target is to stop.
	KeepOnLeave bool `json:"keep_on_leave,omitempty"`
}

// Once are the times of not-repeatable requests; zero takes the default.
type Once struct {
	ClockError Duration `json:"clock_error,omitempty"`
	Ahead      Duration `json:"ahead,omitempty"`
	Back       Duration `json:"back,omitempty"`
	Keep       Duration `json:"keep,omitempty"`
	Promise    Duration `json:"promise,omitempty"`
	LongLease  Duration `json:"long_lease,omitempty"`
}

// Membership are its bounds; zero takes the default.
type Membership struct {
	// BytesPerSecond is the most that is sent.
	BytesPerSecond int `json:"bytes_per_second,omitempty"`
	// Key is a hex key that all processes share; beats are signed with it.
	Key       string   `json:"key,omitempty"`
	Suspicion Duration `json:"suspicion,omitempty"`
}

// defaultBudget leaves room for configuration within 8 KB/s.
const defaultBudget = 4000

func or[T comparable](value, otherwise T) T {
	var zero T
	if value == zero {
		return otherwise
	}
	return value
}

func orTime(value Duration, otherwise time.Duration) time.Duration {
	return or(time.Duration(value), otherwise)
}

// AdmissionOptions fills in the defaults.
func (s *Settings) AdmissionOptions() admission.Options {
	options := admission.DefaultOptions()
	options.Factor = or(s.Admission.Factor, options.Factor)
	options.Floor = or(s.Admission.Floor, options.Floor)
	options.MaxInFlight = or(s.Admission.MaxInFlight, options.MaxInFlight)
	options.QueueCount = or(s.Admission.QueueCount, options.QueueCount)
	options.QueueBytes = or(s.Admission.QueueBytes, options.QueueBytes)
	options.Patience = orTime(s.Admission.Patience, options.Patience)
	return options
}

// CacheOptions passes the cache's description on; zero stays for the default.
func (s *Settings) CacheOptions() agent.CacheOptions {
	return agent.CacheOptions{
		Tokens:           s.Cache.Tokens,
		PrefillPerSecond: s.Cache.PrefillPerSecond,
		HomeWaitFactor:   s.Cache.HomeWaitFactor,
		KeepOnLeave:      s.Cache.KeepOnLeave,
	}
}

// OnceOptions fills in the defaults.
func (s *Settings) OnceOptions() once.Options {
	options := once.DefaultOptions()
	options.ClockError = orTime(s.Once.ClockError, options.ClockError)
	options.MaxAhead = orTime(s.Once.Ahead, options.MaxAhead)
	options.MaxKeyAge = orTime(s.Once.Back, options.MaxKeyAge)
	options.Keep = orTime(s.Once.Keep, options.Keep)
	options.Promise = orTime(s.Once.Promise, options.Promise)
	options.LongLease = orTime(s.Once.LongLease, options.LongLease)
	return options
}

// MemberOptions fills in the defaults.
func (s *Settings) MemberOptions() member.Options {
	options := member.DefaultOptions()
	options.SuspicionTimeout = orTime(s.Membership.Suspicion, options.SuspicionTimeout)
	return options
}

// Budget is the bytes a second that membership may send.
func (s *Settings) Budget() int {
	return or(s.Membership.BytesPerSecond, defaultBudget)
}
