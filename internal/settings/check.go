package settings

import (
	"bytes"
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"

	"github.com/capersaddle/capersaddle/internal/secure"
)

// checker collects the problems of settings that could be parsed.
type checker struct {
	file     string
	text     []byte
	problems []Problem
	// listeners maps each protocol and address in use to the field that names it.
	listeners map[string]string
}

// addProblem records a problem, at the line that holds both the field and the value.
func (c *checker) addProblem(field, value, format string, args ...any) {
	c.problems = append(c.problems, Problem{
		File: c.file,
		Line: c.lineOf(field, value),
		Text: fmt.Sprintf("field %q: ", field) + fmt.Sprintf(format, args...),
	})
}

// lineOf returns the line of a field: of the last part of its name, followed by the value if
// there is one.
func (c *checker) lineOf(field, text string) int {
	name := field[strings.LastIndex(field, ".")+1:]
	rest := c.text
	base := 0
	first := 0
	for {
		at := bytes.Index(rest, []byte(`"`+name+`"`))
		if at < 0 {
			return first
		}
		line := lineAt(c.text, int64(base+at))
		if first == 0 {
			first = line
		}
		after := rest[at+len(name)+2:]
		end := bytes.IndexByte(after, '\n')
		if end < 0 {
			end = len(after)
		}
		if bytes.Contains(after[:end], []byte(text)) {
			return line
		}
		base += at + 1
		rest = rest[at+1:]
	}
}

func (c *checker) check(s *Settings) {
	if s.Role != "router" && s.Role != "agent" {
		c.addProblem("role", s.Role, `found %q; want "router" or "agent"`, s.Role)
	}
	c.require("id", s.ID)
	c.require("data_center", s.DataCenter)
	if s.Role == "router" {
		c.checkListenAddress("callers", s.Callers, "tcp")
	}
	c.checkListenAddress("operators", s.Operators, "tcp")
	c.checkListenAddress("link", s.Link, "tcp")
	c.checkListenAddress("beat", s.Beat, "udp")
	for _, seed := range s.Seeds {
		c.checkAddress("seeds", seed)
	}
	c.checkBaseURL("store", s.Store)
	if s.Hosts != "" {
		c.checkBaseURL("hosts", s.Hosts)
		c.require("host", s.Host)
	}
	c.checkTargets(s)
	c.checkNumbers(s)
	c.checkKeys(s)
	c.checkOneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.checkOneOf("log.format", s.Log.Format, "text", "json")
}

func (c *checker) require(field, value string) {
	if value == "" {
		c.addProblem(field, "", "is missing")
	}
}

func (c *checker) checkOneOf(field, value string, known ...string) {
	if value != "" && !slices.Contains(known, value) {
		c.addProblem(field, value, "found %q; want one of %s", value, strings.Join(known, ", "))
	}
}

// checkAddress checks for the form IP:port.
func (c *checker) checkAddress(field, value string) {
	if value == "" {
		c.addProblem(field, "", "is missing; want IP:port")
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.addProblem(field, value, "found %q; want an IP address and a port, such as 127.0.0.1:8080; names are not looked up", value)
	}
}

// checkListenAddress checks an address on which the process listens; each may be used once.
func (c *checker) checkListenAddress(field, value, protocol string) {
	c.checkAddress(field, value)
	parsed, err := netip.ParseAddrPort(value)
	if err != nil || parsed.Port() == 0 {
		return
	}
	key := protocol + " " + value
	if other, taken := c.listeners[key]; taken {
		c.addProblem(field, value, "found %q, which %q takes already; want another port", value, other)
		return
	}
	c.listeners[key] = field
}

// checkBaseURL checks for the form http://IP:port.
func (c *checker) checkBaseURL(field, value string) {
	if value == "" {
		c.addProblem(field, "", "is missing; want http://IP:port")
		return
	}
	parsed, err := url.Parse(value)
	if err != nil || parsed.Scheme != "http" || parsed.Path != "" {
		c.addProblem(field, value, "found %q; want http://IP:port", value)
		return
	}
	if _, err := netip.ParseAddrPort(parsed.Host); err != nil {
		c.addProblem(field, value, "found the host %q; want an IP address and a port; names are not looked up", parsed.Host)
	}
}

func (c *checker) checkTargets(s *Settings) {
	if s.Role == "router" && len(s.Targets) > 0 {
		c.addProblem("targets", "", "a router has no targets; agents have")
	}
	if s.Role == "agent" && len(s.Targets) == 0 {
		c.addProblem("targets", "", "is missing or empty; an agent needs at least one target")
	}
	seen := make(map[string]bool)
	for _, target := range s.Targets {
		c.require("targets.id", target.ID)
		if seen[target.ID] {
			c.addProblem("targets.id", target.ID, "found %q twice; each target needs its own id", target.ID)
		}
		seen[target.ID] = true
		if target.Kind != "engine" && target.Kind != "service" {
			c.addProblem("targets.kind", target.Kind, `found %q; want "engine" or "service"`, target.Kind)
		}
		if !target.Managed {
			c.require("targets.pool", target.Pool)
		}
		if target.Managed && (target.Kind != "engine" || target.Pool != "") {
			c.addProblem("targets.managed", "true", "target %q: only an engine without a pool can be managed", target.ID)
		}
		c.checkBaseURL("targets.url", target.URL)
	}
}

func (c *checker) checkNumbers(s *Settings) {
	if s.Admission.Factor != 0 && s.Admission.Factor < 1 {
		c.addProblem("admission.factor", fmt.Sprint(s.Admission.Factor), "found %v; want 1 or more: no target can stay below the mean", s.Admission.Factor)
	}
	if s.Admission.Floor < 0 || s.Admission.MaxInFlight < 0 || s.Admission.QueueCount < 0 || s.Admission.QueueBytes < 0 {
		c.addProblem("admission", "", "its numbers must not be negative")
	}
	if s.Membership.BytesPerSecond < 0 || s.Membership.BytesPerSecond > 0 && s.Membership.BytesPerSecond < minBudget {
		c.addProblem("membership.bytes_per_second", fmt.Sprint(s.Membership.BytesPerSecond), "found %d; want at least %d: one heartbeat per second", s.Membership.BytesPerSecond, minBudget)
	}
	if s.MaxBody < 0 {
		c.addProblem("most_body", fmt.Sprint(s.MaxBody), "found %d; want a number of bytes", s.MaxBody)
	}
	const hashLength = 64
	if s.OperatorKeyHash != "" && len(s.OperatorKeyHash) != hashLength {
		c.addProblem("operator_key_hash", s.OperatorKeyHash, "found %d characters; want the hex SHA-256 of the key, %d characters", len(s.OperatorKeyHash), hashLength)
	}
	options := s.OnceOptions()
	if options.Keep < options.MaxKeyAge {
		c.addProblem("once.keep", "", "found %v, below once.back of %v; a record must be kept as long as its key may be admitted", options.Keep, options.MaxKeyAge)
	}
}

// minBudget allows one full datagram per second.
const minBudget = 1200

// checkKeys checks that the TLS settings are complete and that the keys can be read.
func (c *checker) checkKeys(s *Settings) {
	if _, err := secure.NewSigner(s.Membership.Key); err != nil {
		c.addProblem("membership.key", "", "want a key of at least 32 bytes in hex")
	}
	if !s.TLS.Source().Set() {
		return
	}
	c.require("tls.ca", s.TLS.CA)
	c.require("tls.cert", s.TLS.Cert)
	c.require("tls.key", s.TLS.Key)
	if _, err := secure.Load(s.TLS.Source()); err != nil {
		c.addProblem("tls", "", "%v", err)
	}
}
