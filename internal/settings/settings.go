// Package settings reads the settings of a process: JSON with comments. The whole file is
// checked, and each error names the file, the line, the value found and the value wanted.
package settings

import (
	"cmp"
	"time"

	"github.com/capersaddle/capersaddle/internal/admission"
	"github.com/capersaddle/capersaddle/internal/agent"
	"github.com/capersaddle/capersaddle/internal/member"
	"github.com/capersaddle/capersaddle/internal/once"
	"github.com/capersaddle/capersaddle/internal/secure"
)

// Duration is a time.Duration that is written with its unit, such as "250ms", "8s" or "12h".
type Duration time.Duration

// Settings holds the settings of one router or agent.
type Settings struct {
	// Role is "router" or "agent".
	Role       string `json:"role"`
	ID         string `json:"id"`
	DataCenter string `json:"data_center"`
	// Callers is the address on which a router serves callers, IP:port.
	Callers string `json:"callers,omitempty"`
	// Operators is the address for operators' requests and metrics, IP:port.
	Operators string `json:"operators"`
	// Link is the TCP address for other processes, IP:port.
	Link string `json:"link"`
	// Beat is the UDP address for membership heartbeats, IP:port.
	Beat string `json:"beat"`
	// Seeds are heartbeat addresses of other processes, IP:port.
	Seeds []string `json:"seeds"`
	// Store and Hosts are the addresses of the platform's services, http://IP:port.
	Store string `json:"store"`
	Hosts string `json:"hosts,omitempty"`
	// Host is the id of the process's host in the host list.
	Host string `json:"host,omitempty"`
	// Targets are the back ends of an agent.
	Targets []Target `json:"targets,omitempty"`
	// TLS holds the process's keys; links are not encrypted without them.
	TLS TLS `json:"tls"`
	// OperatorKeyHash is the hex SHA-256 of the operators' key.
	OperatorKeyHash string     `json:"operator_key_hash,omitempty"`
	Log             Log        `json:"log"`
	Admission       Admission  `json:"admission"`
	Cache           Cache      `json:"cache"`
	Once            Once       `json:"once"`
	Membership      Membership `json:"membership"`
	// Timeout limits the duration of a request at a router.
	Timeout Duration `json:"timeout,omitempty"`
	// MaxBody limits the body of a request, in bytes.
	MaxBody int64 `json:"most_body,omitempty"`
}

// Target describes one back end beside an agent.
type Target struct {
	ID string `json:"id"`
	// Kind is "engine" or "service".
	Kind string `json:"kind"`
	// Pool is the model of an engine or the name of a service; empty for a managed engine.
	Pool string `json:"pool"`
	// Managed marks an engine whose model is assigned by the placements.
	Managed bool `json:"managed,omitempty"`
	// Version is the version of the target's software. An answer that breaks off continues only at a
	// target of the same version. Targets without one count as of the same version.
	Version string `json:"version,omitempty"`
	// URL is the target's address, http://IP:port.
	URL string `json:"url"`
}

// TLS holds keys, each as PEM text or as the path of a file.
type TLS struct {
	CA   string `json:"ca,omitempty"`
	Cert string `json:"cert,omitempty"`
	Key  string `json:"key,omitempty"`
	// Operators requires client certificates on the operators' address too.
	Operators bool `json:"operators,omitempty"`
}

// Source returns the sources of the keys.
func (t TLS) Source() secure.Source {
	return secure.Source{CA: t.CA, Cert: t.Cert, Key: t.Key}
}

// Log configures the log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `json:"level,omitempty"`
	// Format is text or json.
	Format string `json:"format,omitempty"`
}

// Admission limits the requests admitted to a target; zero fields take the default.
type Admission struct {
	Factor      float64  `json:"factor,omitempty"`
	Floor       int      `json:"floor,omitempty"`
	MaxInFlight int      `json:"most,omitempty"`
	QueueCount  int      `json:"queue_count,omitempty"`
	QueueBytes  int64    `json:"queue_bytes,omitempty"`
	Patience    Duration `json:"patience,omitempty"`
}

// Cache describes the engines' prefix caches to their agent; zero fields take the default. A
// wrong value costs cache hits, but breaks no guarantee.
type Cache struct {
	// Tokens is the capacity of an engine's cache, in tokens.
	Tokens int64 `json:"tokens,omitempty"`
	// PrefillPerSecond is the rate at which an engine processes uncached prompt tokens.
	PrefillPerSecond float64 `json:"prefill_per_second,omitempty"`
	// HomeWaitFactor limits the wait of a chat for the engine that has it cached, as a multiple
	// of the time that the cache saves.
	HomeWaitFactor float64 `json:"home_wait_factor,omitempty"`
	// KeepOnLeave disables the transfer of the cache when a target is about to stop.
	KeepOnLeave bool `json:"keep_on_leave,omitempty"`
}

// Once holds the time limits of not-repeatable requests; zero fields take the default.
type Once struct {
	ClockError Duration `json:"clock_error,omitempty"`
	Ahead      Duration `json:"ahead,omitempty"`
	Back       Duration `json:"back,omitempty"`
	Keep       Duration `json:"keep,omitempty"`
	Promise    Duration `json:"promise,omitempty"`
	LongLease  Duration `json:"long_lease,omitempty"`
}

// Membership configures the membership protocol; zero fields take the default.
type Membership struct {
	// BytesPerSecond limits the rate at which membership messages are sent.
	BytesPerSecond int `json:"bytes_per_second,omitempty"`
	// Key is a hex key that all processes share; heartbeats are signed with it.
	Key       string   `json:"key,omitempty"`
	Suspicion Duration `json:"suspicion,omitempty"`
}

// defaultBudget leaves room for configuration messages within 8 KB/s.
const defaultBudget = 4000

func durationOrDefault(value Duration, fallback time.Duration) time.Duration {
	return cmp.Or(time.Duration(value), fallback)
}

// AdmissionOptions returns the admission options, with defaults for fields that are not set.
func (s *Settings) AdmissionOptions() admission.Options {
	options := admission.DefaultOptions()
	options.Factor = cmp.Or(s.Admission.Factor, options.Factor)
	options.Floor = cmp.Or(s.Admission.Floor, options.Floor)
	options.MaxInFlight = cmp.Or(s.Admission.MaxInFlight, options.MaxInFlight)
	options.QueueCount = cmp.Or(s.Admission.QueueCount, options.QueueCount)
	options.QueueBytes = cmp.Or(s.Admission.QueueBytes, options.QueueBytes)
	options.Patience = durationOrDefault(s.Admission.Patience, options.Patience)
	return options
}

// CacheOptions returns the cache options; fields that are zero take the agent's default.
func (s *Settings) CacheOptions() agent.CacheOptions {
	return agent.CacheOptions{
		Tokens:           s.Cache.Tokens,
		PrefillPerSecond: s.Cache.PrefillPerSecond,
		HomeWaitFactor:   s.Cache.HomeWaitFactor,
		KeepOnLeave:      s.Cache.KeepOnLeave,
	}
}

// OnceOptions returns the options of not-repeatable requests, with defaults for fields that are
// not set.
func (s *Settings) OnceOptions() once.Options {
	options := once.DefaultOptions()
	options.ClockError = durationOrDefault(s.Once.ClockError, options.ClockError)
	options.MaxAhead = durationOrDefault(s.Once.Ahead, options.MaxAhead)
	options.MaxKeyAge = durationOrDefault(s.Once.Back, options.MaxKeyAge)
	options.Keep = durationOrDefault(s.Once.Keep, options.Keep)
	options.Promise = durationOrDefault(s.Once.Promise, options.Promise)
	options.LongLease = durationOrDefault(s.Once.LongLease, options.LongLease)
	return options
}

// MemberOptions returns the membership options, with defaults for fields that are not set.
func (s *Settings) MemberOptions() member.Options {
	options := member.DefaultOptions()
	options.SuspicionTimeout = durationOrDefault(s.Membership.Suspicion, options.SuspicionTimeout)
	return options
}

// Budget returns the bytes per second that membership may send.
func (s *Settings) Budget() int {
	return cmp.Or(s.Membership.BytesPerSecond, defaultBudget)
}
