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

// checker gathers what is wrong with settings that could be read.
type checker struct {
	file     string
	text     []byte
	problems []Problem
	// listens are the addresses taken so far, by protocol and address.
	listens map[string]string
}

// say adds a problem, at the line where the value stands after its field.
func (c *checker) say(field, value, format string, args ...any) {
	c.problems = append(c.problems, Problem{
		File: c.file,
		Line: c.lineOf(field, value),
		Text: fmt.Sprintf("field %q: ", field) + fmt.Sprintf(format, args...),
	})
}

// lineOf finds a field's line: the last part of its name, with the value
// behind it if there is one.
func (c *checker) lineOf(field, value string) int {
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
		if bytes.Contains(after[:end], []byte(value)) {
			return line
		}
		base += at + 1
		rest = rest[at+1:]
	}
}

func (c *checker) check(s *Settings) {
	if s.Role != "router" && s.Role != "agent" {
		c.say("role", s.Role, `found %q; want "router" or "agent"`, s.Role)
	}
	c.need("id", s.ID)
	c.need("data_center", s.DataCenter)
	if s.Role == "router" {
		c.listen("callers", s.Callers, "tcp")
	}
	c.listen("operators", s.Operators, "tcp")
	c.listen("link", s.Link, "tcp")
	c.listen("beat", s.Beat, "udp")
	for _, seed := range s.Seeds {
		c.address("seeds", seed)
	}
	c.base("store", s.Store)
	if s.Hosts != "" {
		c.base("hosts", s.Hosts)
		c.need("host", s.Host)
	}
	c.targets(s)
	c.numbers(s)
	c.keys(s)
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", s.Log.Format, "text", "json")
}

func (c *checker) need(field, value string) {
	if value == "" {
		c.say(field, "", "is missing")
	}
}

func (c *checker) oneOf(field, value string, known ...string) {
	if value != "" && !slices.Contains(known, value) {
		c.say(field, value, "found %q; want one of %s", value, strings.Join(known, ", "))
	}
}

// address checks IP:port.
func (c *checker) address(field, value string) {
	if value == "" {
		c.say(field, "", "is missing; want IP:port")
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.say(field, value, "found %q; want an IP address and a port, such as 127.0.0.1:8080; names are not looked up", value)
	}
}

// listen checks an address that the process takes for itself.
func (c *checker) listen(field, value, protocol string) {
	c.address(field, value)
	parsed, err := netip.ParseAddrPort(value)
	if err != nil || parsed.Port() == 0 {
		return
	}
	key := protocol + " " + value
	if other, taken := c.listens[key]; taken {
		c.say(field, value, "found %q, which %q takes already; want another port", value, other)
		return
	}
	c.listens[key] = field
}

// base checks http://IP:port.
func (c *checker) base(field, value string) {
	if value == "" {
		c.say(field, "", "is missing; want http://IP:port")
		return
	}
	parsed, err := url.Parse(value)
	if err != nil || parsed.Scheme != "http" || parsed.Path != "" {
		c.say(field, value, "found %q; want http://IP:port", value)
		return
	}
	if _, err := netip.ParseAddrPort(parsed.Host); err != nil {
		c.say(field, value, "found the host %q; want an IP address and a port; names are not looked up", parsed.Host)
	}
}

func (c *checker) targets(s *Settings) {
	if s.Role == "router" && len(s.Targets) > 0 {
		c.say("targets", "", "a router has no targets; agents have")
	}
	if s.Role == "agent" && len(s.Targets) == 0 {
		c.say("targets", "", "is missing or empty; an agent stands beside at least one target")
	}
	seen := make(map[string]bool)
	for _, target := range s.Targets {
		c.need("targets.id", target.ID)
		if seen[target.ID] {
			c.say("targets.id", target.ID, "found %q twice; each target needs its own id", target.ID)
		}
		seen[target.ID] = true
		if target.Kind != "engine" && target.Kind != "service" {
			c.say("targets.kind", target.Kind, `found %q; want "engine" or "service"`, target.Kind)
		}
		if !target.Managed {
			c.need("targets.pool", target.Pool)
		}
		if target.Managed && (target.Kind != "engine" || target.Pool != "") {
			c.say("targets.managed", "true", "target %q: only an engine without a pool can be managed", target.ID)
		}
		c.base("targets.url", target.URL)
	}
}

func (c *checker) numbers(s *Settings) {
	if s.Admission.Factor != 0 && s.Admission.Factor < 1 {
		c.say("admission.factor", fmt.Sprint(s.Admission.Factor), "found %v; want 1 or more: no target can stay below the mean", s.Admission.Factor)
	}
	if s.Admission.Floor < 0 || s.Admission.MaxInFlight < 0 || s.Admission.QueueCount < 0 || s.Admission.QueueBytes < 0 {
		c.say("admission", "", "its numbers must not be negative")
	}
	if s.Membership.BytesPerSecond < 0 || s.Membership.BytesPerSecond > 0 && s.Membership.BytesPerSecond < leastBudget {
		c.say("membership.bytes_per_second", fmt.Sprint(s.Membership.BytesPerSecond), "found %d; want at least %d: one beat a second", s.Membership.BytesPerSecond, leastBudget)
	}
	if s.MaxBody < 0 {
		c.say("most_body", fmt.Sprint(s.MaxBody), "found %d; want a number of bytes", s.MaxBody)
	}
	const hashLength = 64
	if s.OperatorKeyHash != "" && len(s.OperatorKeyHash) != hashLength {
		c.say("operator_key_hash", s.OperatorKeyHash, "found %d characters; want the hex SHA-256 of the key, %d characters", len(s.OperatorKeyHash), hashLength)
	}
	options := s.OnceOptions()
	if options.Keep < options.MaxKeyAge {
		c.say("once.keep", "", "found %v, below once.back of %v; a record must be kept as long as its key may be admitted", options.Keep, options.MaxKeyAge)
	}
}

// leastBudget lets one whole datagram out each second.
const leastBudget = 1200

// keys checks that TLS is set as a whole, and that the keys can be read.
func (c *checker) keys(s *Settings) {
	if _, err := secure.NewSigner(s.Membership.Key); err != nil {
		c.say("membership.key", "", "want a key of at least 32 bytes in hex")
	}
	if !s.TLS.Source().Set() {
		return
	}
	c.need("tls.ca", s.TLS.CA)
	c.need("tls.cert", s.TLS.Cert)
	c.need("tls.key", s.TLS.Key)
	if _, err := secure.Load(s.TLS.Source()); err != nil {
		c.say("tls", "", "%v", err)
	}
}
