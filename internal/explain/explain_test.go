package explain_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/explain"
	"github.com/capersaddle/capersaddle/internal/quarantine"
)

var logs = `   4.1000 gw-1 {"time":"2026-12-02T10:00:04.1Z","level":"info","msg":"request","process":"gw-1","id":"r1","ending":"target_failed","status":502,"config":7,"proof_ms":300,"took_ms":90,"attempts":"i-1@10.0.0.1:80=lost(took_ms:88,reason:EOF)"}
not a log line
{"time":"2026-12-02T10:00:04.05Z","level":"warn","msg":"target_ejected","process":"gw-2","target":"i-1","request":"r0","reason":"EOF"}
{"time":"2026-12-02T10:00:01Z","level":"info","msg":"config_applied","process":"gw-1","version":7,"before":3}
{"time":"2026-12-02T10:00:05Z","level":"info","msg":"request","process":"gw-1","id":"r2","ending":"answered","status":200,"attempts":"i-2@10.0.0.2:80=answered(took_ms:5)"}
{"time":"2026-12-02T10:00:06Z","level":"info","msg":"rollout_ordered","process":"gw-1","service":"s","version":"v2","order":9}
{"time":"2026-12-02T10:00:08Z","level":"warn","msg":"rollout_halted","process":"gw-2","service":"s","version":"v2","order":9,"reason":"12 of 20 failed"}
{"time":"2026-12-02T10:00:07Z","level":"info","msg":"rollout_ordered","process":"gw-1","service":"t","version":2,"order":11}
{"time":"2026-12-02T10:00:08Z","level":"info","msg":"request","process":"gw-1","id":"r3","service":"s","ending":"target_failed","status":502,"attempts":"i-3@10.0.0.3:80=failed(took_ms:5,version:v2,reason:status_500,version:odd) i-4@10.0.0.4:80=lost(took_ms:9,version:v1)"}
{"time":"2026-12-02T10:00:09Z","level":"warn","msg":"target_crashed","process":"gw-2","target":"i-8","print":"00000000000000aa","ends":2}
{"time":"2026-12-02T10:00:10Z","level":"warn","msg":"request_held_back","process":"gw-1","print":"00000000000000aa","ends":3}
{"time":"2026-12-02T10:00:11Z","level":"info","msg":"request","process":"gw-1","id":"r4","ending":"quarantined","status":400,"print":"00000000000000aa"}
{"time":"2026-12-02T10:00:12Z","level":"info","msg":"request","process":"gw-1","id":"r5","ending":"quarantined","status":400,"print":"00000000000000aa"}
{"time":"2026-12-02T10:00:13Z","level":"info","msg":"target_rests","process":"gw-1","target":"i-5","service":"s","rest_ms":3000}
{"time":"2026-12-02T10:00:13Z","level":"info","msg":"target_rests","process":"gw-2","target":"i-5","service":"s","rest_ms":3000}
{"time":"2026-12-02T10:00:13Z","level":"info","msg":"target_leaves","process":"gw-1","target":"i-6","service":"other"}
{"time":"2026-12-02T10:00:14Z","level":"info","msg":"target_leaves","process":"gw-1","target":"i-6","service":"s"}
{"time":"2026-12-02T10:00:15Z","level":"info","msg":"request","process":"gw-1","id":"r6","service":"s","ending":"no_target","status":503}
{"time":"2026-12-02T10:00:16Z","level":"info","msg":"request","process":"gw-1","id":"r7","ending":"overloaded","status":429,"no_retry":"budget","attempts":"i-9@10.0.0.9:80=rejected(took_ms:1)"}
{"time":"2026-12-02T10:00:17Z","level":"info","msg":"request","process":"gw-1","id":"r8","ending":"cut","status":200,"attempts":"i-10@10.0.0.9:80=cut(took_ms:1,version:v1,events:3)"}
{"time":"2026-12-02T10:00:18Z","level":"info","msg":"request","process":"gw-2","id":"r9","ending":"answered","status":200,"resumes":"r8","last_event":"3","attempts":"i-11@10.0.0.9:80=answered(took_ms:1,version:v2,events:3)"}
{"time":"2026-12-02T10:00:19Z","level":"warn","msg":"part_held_back","process":"gw-2","part":"5c1e07a2","print":"` + partPrint + `","ends":4}
{"time":"2026-12-02T10:00:20Z","level":"info","msg":"request","process":"gw-1","id":"r11","ending":"suspected","status":503,"print":"00000000000000ab","held_part":"5c1e07a2"}
`

// partPrint is the fingerprint of part 5c1e07a2.
var partPrint = quarantine.PartFingerprint("5c1e07a2").String()

func TestTimeline(t *testing.T) {
	cases := map[string]struct {
		subject string
		events  []string
		cause   string
	}{
		"a request":        {"r1", []string{"target_ejected", "request"}, "may not be repeated"},
		"a target":         {"i-1", []string{"target_ejected", "request"}, ""},
		"a configuration":  {"version:7", []string{"config_applied"}, ""},
		"versions":         {"r3", []string{"request"}, "; versions: i-3 v2, i-4 v1"},
		"a roll-out":       {"rollout:s", []string{"rollout_ordered", "rollout_halted"}, ""},
		"another service":  {"rollout:t", []string{"rollout_ordered"}, ""},
		"a held request":   {"r4", []string{"target_crashed", "request_held_back", "request"}, "sent to no other"},
		"a fingerprint":    {"print:00000000000000aa", []string{"target_crashed", "request_held_back", "request", "request"}, ""},
		"a held part":      {"r11", []string{"part_held_back", "request"}, "the part: 5c1e07a2"},
		"no open target":   {"r6", []string{"target_rests", "target_leaves", "request"}, "says why none is open"},
		"a resting target": {"i-5", []string{"target_rests", "target_rests"}, ""},
		"no budget":        {"r7", []string{"request"}, "it was not run; no further attempt: the retry budget was spent; attempts: i-9@"},
		"a resumed stream": {"r8", []string{"request", "request"}, "i-10 v1"},
		"nothing":          {"r10", nil, ""},
	}
	lines, unread, err := explain.Read(strings.NewReader(logs))
	if err != nil || unread != 1 {
		t.Fatalf("%v, %d unread", err, unread)
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			timeline := explain.NewTimeline(tc.subject, lines)
			var events []string
			for _, line := range timeline.Lines {
				events = append(events, line.Event)
			}
			is.Equal(events, tc.events)
			is.True(strings.Contains(timeline.Cause, tc.cause))
			var out strings.Builder
			is.NoErr(timeline.Print(&out))
		})
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(logs))
	f.Fuzz(func(t *testing.T, data []byte) {
		lines, _, err := explain.Read(strings.NewReader(string(data)))
		if err != nil {
			return
		}
		for _, line := range lines {
			explain.NewTimeline(line.ID, lines)
		}
	})
}
