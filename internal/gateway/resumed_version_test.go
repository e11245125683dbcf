package gateway_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/freshness"
	"github.com/capersaddle/capersaddle/internal/gateway"
	"github.com/capersaddle/capersaddle/internal/origin"
	"github.com/capersaddle/capersaddle/internal/routing"
)

// uncertain stands for the version of a stream that several versions may have begun.
const uncertain = "uncertain"

// fakeOriginPeers answers lookups with a version of service "s"; empty means that it is unknown.
type fakeOriginPeers struct {
	version string
	asked   int
	spread  []origin.Record
}

func (f *fakeOriginPeers) SpreadOrigin(record origin.Record, _ string) {
	f.spread = append(f.spread, record)
}

func (f *fakeOriginPeers) SpreadOriginNow(record origin.Record) { f.SpreadOrigin(record, "s") }

func (f *fakeOriginPeers) FindOrigin(context.Context, origin.Stream, string) origin.Finding {
	f.asked++
	switch f.version {
	case "":
		return origin.Finding{Answered: 3}
	case uncertain:
		return origin.Finding{Known: true, Version: origin.Uncertain, Answered: 3}
	}
	return origin.Finding{Known: true, Version: origin.VersionOf("s", f.version), Answered: 3}
}

func (w *testGateway) resume(t *testing.T, path, resumes, lastEvent string) *recorder {
	t.Helper()
	caller := new(recorder)
	w.gateway.Events = caller
	w.gateway.Serve(t.Context(), &gateway.Request{
		ID: "r2", Method: "POST", Host: "h", URI: path, Path: path, Key: "key", Arrived: time.Now(),
		Resumes: resumes, LastEventID: lastEvent, Patience: 5 * time.Second,
	}, caller)
	return caller
}

// prove notes proofs of the newest content of the store, a second apart, from one time to another.
func prove(proof *freshness.Proof, from, to time.Time) {
	for at := from; at.Before(to); at = at.Add(time.Second) {
		proof.Note(at)
	}
	proof.Note(to)
}

// TestResumedStreamKeepsItsVersion guards against a stream that goes on at another version when its
// caller resumes it, and against one that ends although it could go on.
func TestResumedStreamKeepsItsVersion(t *testing.T) {
	const long, short = time.Hour, time.Second
	cases := map[string]struct {
		versions []string
		// known is how long the gateway has known the targets.
		known time.Duration
		// began is the version that this gateway recorded for the stream "r1"; peers know told.
		began, told string
		resumes     string
		lastEvent   string
		version     string
		source      gateway.OriginSource
		kind        fault.Kind
		// proofAge is the age of the proof of the newest targets.
		proofAge time.Duration
		// gapEnded is how long ago a gap between the proofs ended; zero for none.
		gapEnded time.Duration
		// provable means that a new proof can be had. It brings a target of the version brings, if that is
		// not empty, and a record of the stream if recorded is true.
		provable, recorded bool
		brings             string
	}{
		"recorded here":                     {versions: []string{"v1", "v2", "v2"}, known: long, began: "v1", resumes: "r1", lastEvent: "1", version: "v1", source: gateway.OriginRecorded},
		"recorded here, list is old":        {versions: []string{"v1", "v2"}, known: long, began: "v1", resumes: "r1", lastEvent: "1", version: "v1", source: gateway.OriginRecorded, proofAge: time.Minute},
		"told by a peer":                    {versions: []string{"v1", "v2", "v2"}, known: long, told: "v1", resumes: "r1", lastEvent: "1", version: "v1", source: gateway.OriginPeer},
		"unknown":                           {versions: []string{"v1", "v2"}, known: long, resumes: "r1", lastEvent: "1", source: gateway.OriginUnknown, kind: fault.StreamUnknown},
		"another stream is known":           {versions: []string{"v1", "v2"}, known: long, began: "v1", resumes: "r0", lastEvent: "1", source: gateway.OriginUnknown, kind: fault.StreamUnknown},
		"its version has no target":         {versions: []string{"v2", "v3"}, known: long, began: "v1", resumes: "r1", lastEvent: "1", source: gateway.OriginRecorded, kind: fault.NoTarget},
		"its version is gone, one is left":  {versions: []string{"v2"}, known: long, began: "v1", resumes: "r1", lastEvent: "1", source: gateway.OriginRecorded, kind: fault.NoTarget},
		"no stream is named, one version":   {versions: []string{"v1"}, known: short, told: "v1", lastEvent: "1", version: "v1", source: gateway.OriginPeer},
		"no stream is named":                {versions: []string{"v1", "v2"}, known: long, began: "v1", lastEvent: "1", source: gateway.OriginUnknown, kind: fault.StreamUnknown},
		"no event is named":                 {versions: []string{"v1", "v2", "v2"}, known: long, began: "v1", resumes: "r1", version: "v1", source: gateway.OriginRecorded},
		"one version for long":              {versions: []string{"v1"}, known: long, resumes: "r1", lastEvent: "1", version: "v1", source: gateway.OriginSole},
		"one version, no stream is named":   {versions: []string{"v1"}, known: long, lastEvent: "1", version: "v1", source: gateway.OriginSole},
		"one version, gateway just began":   {versions: []string{"v1"}, known: short, resumes: "r1", lastEvent: "1", source: gateway.OriginUnknown, kind: fault.StreamUnknown},
		"one version, a peer knows it":      {versions: []string{"v1"}, known: short, told: "v1", resumes: "r1", lastEvent: "1", version: "v1", source: gateway.OriginPeer},
		"one version, list may be old":      {versions: []string{"v1"}, known: long, resumes: "r1", lastEvent: "1", source: gateway.OriginUnknown, kind: fault.StreamUnknown, proofAge: 4 * time.Second},
		"one version, was cut off":          {versions: []string{"v1"}, known: long, resumes: "r1", lastEvent: "1", source: gateway.OriginUnknown, kind: fault.StreamUnknown, gapEnded: 5 * time.Second},
		"was cut off, a peer was not":       {versions: []string{"v1"}, known: long, told: "v1", resumes: "r1", lastEvent: "1", version: "v1", source: gateway.OriginPeer, gapEnded: 5 * time.Second},
		"was cut off long ago":              {versions: []string{"v1"}, known: long, resumes: "r1", lastEvent: "1", version: "v1", source: gateway.OriginSole, gapEnded: time.Minute},
		"a new stream, list may be old":     {versions: []string{"v1"}, known: long, version: "v1", proofAge: 4 * time.Second},
		"one version, a peer is uncertain":  {versions: []string{"v1"}, known: long, told: uncertain, resumes: "r1", lastEvent: "1", source: gateway.OriginUnknown, kind: fault.StreamUnknown},
		"one version, a peer has another":   {versions: []string{"v1"}, known: long, told: "v2", resumes: "r1", lastEvent: "1", source: gateway.OriginPeer, kind: fault.NoTarget},
		"proof is older than the request":   {versions: []string{"v1"}, known: long, resumes: "r1", lastEvent: "1", source: gateway.OriginUnknown, kind: fault.StreamUnknown, proofAge: time.Millisecond},
		"proof is older, a peer knows":      {versions: []string{"v1"}, known: long, told: "v1", resumes: "r1", lastEvent: "1", version: "v1", source: gateway.OriginPeer, proofAge: time.Millisecond},
		"new proof brings nothing":          {versions: []string{"v1"}, known: long, resumes: "r1", lastEvent: "1", version: "v1", source: gateway.OriginSole, proofAge: time.Second, provable: true},
		"new proof brings another version":  {versions: []string{"v1"}, known: long, resumes: "r1", lastEvent: "1", source: gateway.OriginUnknown, kind: fault.StreamUnknown, proofAge: time.Second, provable: true, brings: "v2"},
		"new proof after a gap":             {versions: []string{"v1"}, known: long, resumes: "r1", lastEvent: "1", source: gateway.OriginUnknown, kind: fault.StreamUnknown, proofAge: 4 * time.Second, provable: true},
		"record comes with the new proof":   {versions: []string{"v1"}, known: long, resumes: "r1", lastEvent: "1", version: "v2", source: gateway.OriginRecorded, proofAge: time.Second, provable: true, brings: "v2", recorded: true},
		"recorded, targets not listed yet":  {versions: []string{"v1"}, known: long, began: "v2", resumes: "r1", lastEvent: "1", version: "v2", source: gateway.OriginRecorded, proofAge: time.Second, provable: true, brings: "v2"},
		"told, targets not listed yet":      {versions: []string{"v1"}, known: short, told: "v2", resumes: "r1", lastEvent: "1", version: "v2", source: gateway.OriginPeer, proofAge: time.Second, provable: true, brings: "v2"},
		"one version, told another by peer": {versions: []string{"v2"}, known: short, told: "v1", resumes: "r1", lastEvent: "1", source: gateway.OriginPeer, kind: fault.NoTarget},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sender := &firstSender{first: stream(two, io.EOF), others: stream(two, io.EOF)}
				w := newTestGateway()
				w.gateway.Sender = sender
				for _, id := range []string{"a", "b", "c"} {
					w.gateway.Balancer.SetUnusable(id)
					w.gateway.Balancer.Drop(id, time.Now())
				}
				time.Sleep(2 * time.Hour)
				for i, version := range tc.versions {
					id := version + string(rune('a'+i))
					w.gateway.Balancer.Put(balance.Target{ID: id, Service: "s", Address: id, Version: version}, time.Now())
				}
				if tc.known < long {
					w.gateway.Balancer = balance.New(balance.DefaultOptions())
					for i, version := range tc.versions {
						id := version + string(rune('a'+i))
						w.gateway.Balancer.Put(balance.Target{ID: id, Service: "s", Address: id, Version: version}, time.Now())
					}
				}
				time.Sleep(tc.known)
				now := time.Now()
				if tc.gapEnded > 0 {
					const gap = freshness.MaxGap + time.Second
					prove(w.gateway.Proof, now.Add(-tc.known), now.Add(-tc.gapEnded-gap))
					prove(w.gateway.Proof, now.Add(-tc.gapEnded), now)
				} else {
					prove(w.gateway.Proof, now.Add(-tc.known), now.Add(-tc.proofAge))
				}
				peers := &fakeOriginPeers{version: tc.told}
				w.gateway.Origins = &gateway.Origins{Table: origin.NewTable(), Peers: peers}
				w.gateway.Options = gateway.Options{}
				if tc.began != "" {
					w.gateway.Origins.Table.Put(origin.Record{Stream: origin.StreamOf("w", "r1"), Version: origin.VersionOf("s", tc.began), Expires: time.Now().Add(time.Minute)}, time.Now())
				}
				if tc.provable {
					w.gateway.Prove = func(context.Context, time.Time) bool {
						if tc.brings != "" {
							w.gateway.Balancer.Put(balance.Target{ID: "new", Service: "s", Address: "new", Version: tc.brings}, time.Now())
						}
						if tc.recorded {
							w.gateway.Origins.Table.Put(origin.Record{Stream: origin.StreamOf("w", "r1"), Version: origin.VersionOf("s", tc.brings), Expires: time.Now().Add(time.Minute)}, time.Now())
						}
						w.gateway.Proof.Note(time.Now())
						return true
					}
				}
				caller := w.resume(t, "/resumable/x", tc.resumes, tc.lastEvent)
				record := caller.records[0]
				is.Equal(record.OriginSource, tc.source)
				if tc.kind != "" {
					is.Equal(caller.refusal.Kind, tc.kind)
					is.Equal(caller.refusal.State, fault.NotRun)
					is.Equal(caller.status, http.StatusServiceUnavailable)
					is.True(caller.refusal.RetryAfter > 0)
					is.Equal(len(sender.sent), 0)
					return
				}
				is.Equal(caller.status, http.StatusOK)
				is.Equal(sender.sent[0].Target.Version, tc.version)
				is.Equal(record.StreamVersion, tc.version)
				is.Equal(len(peers.spread), 1) // whoever resumes the stream next can find it
				is.Equal(peers.spread[0].Version, origin.VersionOf("s", tc.version))
				if tc.resumes != "" {
					is.Equal(peers.spread[0].Stream, origin.StreamOf("w", tc.resumes))
				}
			})
		})
	}
}

// TestRestartAtOtherVersionMakesStreamsUncertain guards against streams that a target began at another
// version than its entry told at the time.
func TestRestartAtOtherVersionMakesStreamsUncertain(t *testing.T) {
	cases := map[string]struct {
		version string
		// provenAgo is how long before the stream the entries were last proven to be the newest;
		// negative for after it.
		provenAgo time.Duration
		uncertain bool
	}{
		"another version, not proven since": {"v2", time.Second, true},
		"another version, proven since":     {"v2", -time.Second, false},
		"the same version":                  {"v1", time.Second, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newTestGateway(stream(one, io.ErrUnexpectedEOF))
				for _, id := range []string{"a", "b", "c"} {
					w.gateway.Balancer.SetUnusable(id)
				}
				w.gateway.Balancer.Put(balance.Target{ID: "t", Born: 1, Service: "s", Address: "t", Version: "v1"}, time.Now())
				peers := new(fakeOriginPeers)
				w.gateway.Origins = &gateway.Origins{Table: origin.NewTable(), Peers: peers}
				w.gateway.Proof.Note(time.Now())
				time.Sleep(time.Second)
				w.serve(t.Context(), "/resumable/x")
				if tc.provenAgo < 0 {
					time.Sleep(-tc.provenAgo)
					w.gateway.Proof.Note(time.Now())
				}
				change := w.gateway.Balancer.Put(balance.Target{ID: "t", Born: 2, Service: "s", Address: "t", Version: tc.version}, time.Now())
				w.gateway.EndSuperseded(change.Superseded, change.OtherVersion)
				record, ok := w.gateway.Origins.Table.Get(origin.StreamOf("w", "r1"), time.Now())
				is.True(ok)
				is.Equal(record.Version == origin.Uncertain, tc.uncertain)
				is.Equal(peers.spread[len(peers.spread)-1].Version == origin.Uncertain, tc.uncertain)
			})
		})
	}
}

// TestMovedStreamsNeedRecords guards against a stream that goes on at another service when the
// configuration has moved its route since.
func TestMovedStreamsNeedRecords(t *testing.T) {
	cases := map[string]struct {
		// movedAgo is how long ago the route was moved to the service; zero means never.
		movedAgo time.Duration
		began    string
		kind     fault.Kind
		source   gateway.OriginSource
	}{
		"never moved":                    {0, "", "", gateway.OriginSole},
		"moved long ago":                 {time.Minute, "", "", gateway.OriginSole},
		"just moved":                     {time.Second, "", fault.StreamUnknown, gateway.OriginUnknown},
		"just moved, began at this one":  {time.Second, "s", "", gateway.OriginRecorded},
		"just moved, began at the other": {time.Second, "before", fault.NoTarget, gateway.OriginRecorded},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sender := &firstSender{first: stream(two, io.EOF), others: stream(two, io.EOF)}
				w := versionGateway(sender, "v1")
				w.gateway.Balancer = balance.New(balance.DefaultOptions())
				w.gateway.Balancer.Put(balance.Target{ID: "t", Service: "s", Address: "t", Version: "v1"}, time.Now())
				w.gateway.Balancer.Put(balance.Target{ID: "u", Service: "before", Address: "u", Version: "v1"}, time.Now())
				w.gateway.Options = gateway.Options{}
				w.gateway.Origins = &gateway.Origins{Table: origin.NewTable()}
				if tc.movedAgo > 0 {
					before := config()
					before.Version = 8
					for i := range before.Routes {
						before.Routes[i].Split = []routing.Share{{Service: "before", Weight: 1}}
					}
					w.gateway.Apply(before)
				}
				time.Sleep(time.Hour)
				after := config()
				after.Version = 9
				w.gateway.Apply(after)
				time.Sleep(tc.movedAgo)
				prove(w.gateway.Proof, time.Now().Add(-time.Minute), time.Now())
				if tc.began != "" {
					w.gateway.Origins.Table.Put(origin.Record{Stream: origin.StreamOf("w", "r1"), Version: origin.VersionOf(tc.began, "v1"), Expires: time.Now().Add(time.Minute)}, time.Now())
				}
				caller := w.resume(t, "/resumable/x", "r1", "1")
				is.Equal(caller.records[0].OriginSource, tc.source)
				if tc.kind != "" {
					is.Equal(caller.refusal.Kind, tc.kind)
					is.Equal(len(sender.sent), 0)
					return
				}
				is.Equal(sender.sent[0].Target.ID, "t")
			})
		})
	}
}

// slowOriginPeers tells that a stream is uncertain, after a time.
type slowOriginPeers struct {
	fakeOriginPeers
	takes time.Duration
}

func (s *slowOriginPeers) FindOrigin(ctx context.Context, stream origin.Stream, service string) origin.Finding {
	select {
	case <-time.After(s.takes):
		return s.fakeOriginPeers.FindOrigin(ctx, stream, service)
	case <-ctx.Done():
		return origin.Finding{}
	}
}

// TestRecordThatComesAfterTheProof guards against streams that go on at the only version because the store
// answered sooner than the gateway that knows that the stream is uncertain.
func TestRecordThatComesAfterTheProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sender := &firstSender{first: stream(two, io.EOF), others: stream(two, io.EOF)}
		w := versionGateway(sender)
		time.Sleep(2 * time.Hour)
		w.gateway.Balancer.Put(balance.Target{ID: "x", Service: "s", Address: "x", Version: "v1"}, time.Now())
		time.Sleep(time.Hour)
		prove(w.gateway.Proof, time.Now().Add(-time.Hour), time.Now().Add(-time.Second))
		w.gateway.Prove = func(context.Context, time.Time) bool {
			time.Sleep(time.Millisecond)
			w.gateway.Proof.Note(time.Now())
			return true
		}
		w.gateway.Origins = &gateway.Origins{Table: origin.NewTable(), Peers: &slowOriginPeers{fakeOriginPeers{version: uncertain}, 2 * time.Millisecond}}
		caller := w.resume(t, "/resumable/x", "r1", "1")
		is.Equal(caller.records[0].OriginSource, gateway.OriginUnknown)
		is.Equal(len(sender.sent), 0)
	})
}
