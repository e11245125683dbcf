package member

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/capersaddle/capersaddle/internal/wire"
)

const (
	benchRouters   = 370
	targetsPerHost = 4
)

// memberCounts are the current number of members, half the planned one and the planned one.
var memberCounts = []int{16, 1135, 2270}

// benchMembers returns a fleet with one router to about five agents.
func benchMembers(n int) []*wire.Member {
	members := make([]*wire.Member, 0, n)
	for i := range n {
		m := &wire.Member{
			Id:          fmt.Sprintf("host-%04d", i),
			Role:        RoleAgent,
			DataCenter:  fmt.Sprintf("center-%d", i%6),
			LinkAddress: fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250),
			BeatAddress: fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250),
			Incarnation: 1_796_205_282_000,
			Version:     3,
			Standing:    wire.Standing_STANDING_ALIVE,
			Session:     "00dc6ad0-34b8-7001-91f1-1eb53f61b6b2",
		}
		if i*benchRouters/2270 != (i+1)*benchRouters/2270 {
			m.Role = RoleRouter
		} else {
			for t := range targetsPerHost {
				m.Targets = append(m.Targets, &wire.TargetState{Id: fmt.Sprintf("engine-%05d", i*targetsPerHost+t), Pool: fmt.Sprintf("model-%d", i%9)})
			}
		}
		members = append(members, m)
	}
	return members
}

func benchList(n int) *List {
	members := benchMembers(n)
	l := NewList(DefaultOptions(), cloneMember(members[0]))
	l.Merge(members[1:])
	beat := &wire.Beat{From: members[1].GetId()}
	for _, m := range members {
		if len(m.GetTargets()) > 0 {
			beat.Loads = append(beat.Loads, &wire.LoadSample{Id: m.GetId(), InFlight: []uint32{9, 12, 11, 10}, Limit: []uint32{15, 15, 15, 15}, AgeMs: 1})
		}
	}
	l.Receive(beat)
	return l
}

func eachSize(b *testing.B, work func(b *testing.B, l *List)) {
	for _, n := range memberCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := benchList(n)
			b.ReportAllocs()
			work(b, l)
		})
	}
}

// BenchmarkCompose measures composing one heartbeat in steady state.
func BenchmarkCompose(b *testing.B) {
	eachSize(b, func(b *testing.B, l *List) {
		for _, e := range l.entries {
			e.timesSent = 100
		}
		bytes, loads := 0, 0
		for b.Loop() {
			beat := l.Compose(&wire.Beat{}, maxDatagramBytes)
			bytes = proto.Size(beat)
			loads = len(beat.GetLoads())
		}
		b.ReportMetric(float64(bytes), "bytes")
		b.ReportMetric(float64(loads), "hosts/beat")
	})
}

// BenchmarkTake measures processing one heartbeat.
func BenchmarkTake(b *testing.B) {
	eachSize(b, func(b *testing.B, l *List) {
		beat := l.Compose(&wire.Beat{}, maxDatagramBytes)
		beat.From = "host-0001"
		for b.Loop() {
			l.Receive(beat)
		}
	})
}

// BenchmarkMeanLoads measures what an agent does once per second.
func BenchmarkMeanLoads(b *testing.B) {
	eachSize(b, func(b *testing.B, l *List) {
		for b.Loop() {
			l.MeanLoads()
		}
	})
}

// BenchmarkExpire measures what each process does once per second.
func BenchmarkExpire(b *testing.B) {
	eachSize(b, func(b *testing.B, l *List) {
		for b.Loop() {
			l.Expire()
		}
	})
}

// BenchmarkAhead measures what each process does five times per second.
func BenchmarkAhead(b *testing.B) {
	eachSize(b, func(b *testing.B, l *List) {
		for b.Loop() {
			l.Ahead(7)
		}
	})
}

// BenchmarkPeers measures copying all members.
func BenchmarkPeers(b *testing.B) {
	eachSize(b, func(b *testing.B, l *List) {
		for b.Loop() {
			l.Peers()
		}
	})
}

// BenchmarkRoster measures a roster exchange, in bytes.
func BenchmarkRoster(b *testing.B) {
	eachSize(b, func(b *testing.B, l *List) {
		bytes := 0
		for b.Loop() {
			bytes = proto.Size(&wire.Roster{Members: l.Roster()})
		}
		b.ReportMetric(float64(bytes), "bytes")
	})
}

// BenchmarkListMemory measures the memory of the list.
func BenchmarkListMemory(b *testing.B) {
	for _, n := range memberCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				l := benchList(n)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(l)
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-bytes")
		})
	}
}
