package quarantine_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/quarantine"
)

func subject() quarantine.Subject {
	return quarantine.Subject{Workspace: "clinic", Method: "POST", Host: "shop.example", URI: "/chat/1?x=2", Body: []byte("body")}
}

// TestFingerprint checks that each part of a request changes the fingerprint, and that equal
// requests have equal fingerprints.
func TestFingerprint(t *testing.T) {
	is := is.New(t)
	is.Equal(subject().Fingerprint(), subject().Fingerprint())
	changes := map[string]func(s *quarantine.Subject){
		"workspace":     func(s *quarantine.Subject) { s.Workspace = "shop" },
		"no workspace":  func(s *quarantine.Subject) { s.Workspace = "" },
		"method":        func(s *quarantine.Subject) { s.Method = "GET" },
		"host":          func(s *quarantine.Subject) { s.Host = "other.example" },
		"path":          func(s *quarantine.Subject) { s.URI = "/chat/2?x=2" },
		"query":         func(s *quarantine.Subject) { s.URI = "/chat/1?x=3" },
		"body":          func(s *quarantine.Subject) { s.Body = []byte("Body") },
		"no body":       func(s *quarantine.Subject) { s.Body = nil },
		"moved borders": func(s *quarantine.Subject) { s.Workspace, s.Method = "clin", "icPOST" },
		"path to body":  func(s *quarantine.Subject) { s.URI, s.Body = "/chat/1", []byte("?x=2body") },
	}
	seen := map[quarantine.Fingerprint]string{subject().Fingerprint(): "unchanged"}
	for name, change := range changes {
		changed := subject()
		change(&changed)
		fingerprint := changed.Fingerprint()
		is.Equal(seen[fingerprint], "") // a different request has the same fingerprint
		seen[fingerprint] = name
	}
}

// TestFingerprintIsStable guards the format against changes: gateways of different releases must
// compute the same fingerprint.
func TestFingerprintIsStable(t *testing.T) {
	is := is.New(t)
	fingerprint := subject().Fingerprint()
	is.Equal(fingerprint.String(), "19ce43b63e82f588")
	parsed, err := quarantine.ParseFingerprint(fingerprint.String())
	is.NoErr(err)
	is.Equal(parsed, fingerprint)
	is.Equal(quarantine.Fingerprint(1).String(), "0000000000000001")
	_, err = quarantine.ParseFingerprint("no fingerprint")
	is.True(err != nil)
}

func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 12 << 10, 4 << 20} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			request := subject()
			request.Body = []byte(strings.Repeat("x", size))
			b.ReportAllocs()
			for b.Loop() {
				request.Fingerprint()
			}
		})
	}
}
