package admission

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m) }

func smallOptions() Options {
	options := DefaultOptions()
	options.Floor = 2
	options.QueueCount = 8
	options.QueueBytes = 1000
	return options
}

// The limit holds whatever mean is reported, also when reports are late, stale or missing: a
// request is only admitted while the load is below max(floor, ceil(c x the mean last reported
// within MeanAge)).
func TestAdmissionNeverExceedsLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		options := smallOptions()
		g := NewGate(options)
		var places []*Place
		mean, reported := 0.0, false
		rt.Repeat(map[string]func(*rapid.T){
			"mean": func(rt *rapid.T) {
				mean = rapid.Float64Range(0, 30).Draw(rt, "mean")
				reported = true
				g.SetMean(mean)
			},
			"stale": func(*rapid.T) {
				g.mu.Lock()
				g.meanAt = time.Now().Add(-2 * options.MeanAge)
				g.mu.Unlock()
				reported = false
			},
			"admit": func(rt *rapid.T) {
				bound := Limit(options, 0)
				if reported {
					bound = Limit(options, mean)
				}
				place, refusal := g.Admit(context.Background(), Ticket{Workspace: "w"})
				if refusal == nil {
					places = append(places, place)
				}
				if refusal == nil && len(places) > bound {
					rt.Fatalf("%d in flight, the bound is %d", len(places), bound)
				}
				if refusal != nil && (refusal.State != fault.NotRun || refusal.RetryAfter == 0) {
					rt.Fatalf("refused without state NotRun or without a time to retry: %v", refusal)
				}
			},
			"release": func(rt *rapid.T) {
				if len(places) == 0 {
					rt.Skip("nothing in flight")
				}
				i := rapid.IntRange(0, len(places)-1).Draw(rt, "place")
				places[i].Release()
				places[i].Release() // a second Release has no effect
				places = append(places[:i], places[i+1:]...)
			},
		})
		if got := g.Load().InFlight; got != len(places) {
			rt.Fatalf("the gate counts %d in flight, want %d", got, len(places))
		}
	})
}

func TestLimit(t *testing.T) {
	tests := map[string]struct {
		mean float64
		want int
	}{
		"idle pool uses the floor":         {0, 2},
		"exact multiple is not rounded up": {4, 5},
		"fraction is rounded up":           {4.1, 6},
		"maximum is not exceeded":          {10_000, 256},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(Limit(smallOptions(), tt.mean), tt.want)
		})
	}
}

// Requests that an engine runs without this process having admitted them count towards the limit.
func TestForeignLoadCountsTowardsLimit(t *testing.T) {
	is := is.New(t)
	g := NewGate(smallOptions())
	g.SetForeign(2)
	_, refusal := g.Admit(context.Background(), Ticket{})
	is.Equal(refusal.Kind, fault.Overloaded)
	g.SetForeign(0)
	_, refusal = g.Admit(context.Background(), Ticket{})
	is.True(refusal == nil)
}

// admissionOrder queues the tickets, admits them one after another and returns the order of their
// workspaces.
func admissionOrder(t *testing.T, options Options, tickets []Ticket, holdTime time.Duration) []string {
	g := NewGate(options)
	first, refusal := g.Admit(t.Context(), Ticket{})
	is.New(t).True(refusal == nil)
	second, refusal := g.Admit(t.Context(), Ticket{})
	is.New(t).True(refusal == nil)
	_ = second
	var mu sync.Mutex
	var order []string
	var wait sync.WaitGroup
	for _, ticket := range tickets {
		ticket.Wait = true
		wait.Go(func() {
			place, refusal := g.Admit(t.Context(), ticket)
			if refusal != nil {
				return
			}
			mu.Lock()
			order = append(order, ticket.Workspace)
			mu.Unlock()
			time.Sleep(holdTime)
			place.Release()
		})
		synctest.Wait()
	}
	first.Release()
	wait.Wait()
	return order
}

func TestQueueOrder(t *testing.T) {
	urgent := func(workspace string) Ticket { return Ticket{Workspace: workspace, Share: 1} }
	deferrable := func(workspace string) Ticket { return Ticket{Workspace: workspace, Share: 1, Deferrable: true} }
	doubleShare := func(workspace string) Ticket { return Ticket{Workspace: workspace, Share: 2} }
	tests := map[string]struct {
		tickets []Ticket
		want    []string
	}{
		"a workspace's burst queues behind itself": {
			[]Ticket{urgent("surge"), urgent("surge"), urgent("surge"), urgent("calm")},
			[]string{"surge", "calm", "surge", "surge"},
		},
		"urgent goes before deferrable": {
			[]Ticket{deferrable("report"), urgent("clinic"), urgent("clinic")},
			[]string{"clinic", "clinic", "report"},
		},
		"places are divided by share": {
			[]Ticket{doubleShare("large"), doubleShare("large"), doubleShare("large"), urgent("small"), urgent("small")},
			[]string{"large", "large", "small", "large", "small"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				options := smallOptions()
				options.Floor = 2
				is.New(t).Equal(admissionOrder(t, options, tt.tickets, time.Millisecond), tt.want)
			})
		})
	}
}

// A deferrable request is served before urgent ones once its patience is over, however many of
// these keep arriving.
func TestDeferrableRequestsAreNotStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		options := smallOptions()
		options.Floor = 1
		g := NewGate(options)
		place, _ := g.Admit(t.Context(), Ticket{})
		began := time.Now()
		served := make(chan time.Duration, 1)
		go func() {
			got, refusal := g.Admit(t.Context(), Ticket{Workspace: "report", Deferrable: true, Wait: true})
			if refusal == nil {
				served <- time.Since(began)
				got.Release()
			}
		}()
		synctest.Wait()
		done := false
		for !done {
			next := make(chan *Place, 1)
			go func() {
				got, _ := g.Admit(t.Context(), Ticket{Workspace: "clinic", Wait: true})
				next <- got
			}()
			synctest.Wait()
			time.Sleep(500 * time.Millisecond)
			place.Release()
			place = <-next
			select {
			case waited := <-served:
				is.New(t).True(waited <= options.Patience+time.Second)
				done = true
			default:
				is.New(t).True(time.Since(began) < time.Minute)
			}
		}
		place.Release()
	})
}

// A request that can't be admitted before its deadline is refused at once, with a time to retry
// that is computed from the queue.
func TestAdmitRefusesWaitBeyondDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		options := smallOptions()
		options.Floor = 1
		g := NewGate(options)
		// One place is released every two seconds.
		for range 50 {
			place, _ := g.Admit(t.Context(), Ticket{})
			time.Sleep(2 * time.Second)
			place.Release()
		}
		place, _ := g.Admit(t.Context(), Ticket{})
		for range 4 {
			go func() {
				if got, refusal := g.Admit(t.Context(), Ticket{Workspace: "w", Wait: true}); refusal == nil {
					got.Release()
				}
			}()
			synctest.Wait()
		}
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		began := time.Now()
		_, refusal := g.Admit(ctx, Ticket{Workspace: "w", Wait: true})
		is.Equal(refusal.Kind, fault.Overloaded)
		is.Equal(time.Since(began), time.Duration(0))
		is.True(refusal.RetryAfter > 8*time.Second)
		place.Release()
		synctest.Wait()
	})
}

func TestQueueBounds(t *testing.T) {
	tests := map[string]struct {
		bytes int64
		fits  int
	}{
		"by count": {1, 8},
		"by bytes": {400, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				options := smallOptions()
				options.Floor = 1
				g := NewGate(options)
				place, _ := g.Admit(t.Context(), Ticket{})
				ctx, cancel := context.WithCancel(t.Context())
				for range 12 {
					go func() { _, _ = g.Admit(ctx, Ticket{Wait: true, Bytes: tt.bytes}) }()
				}
				synctest.Wait()
				is.Equal(g.Load().Queued, tt.fits)
				cancel()
				synctest.Wait()
				is.Equal(g.Load().Queued, 0) // canceled requests leave the queue
				place.Release()
				is.Equal(g.Load().InFlight, 0)
			})
		})
	}
}

func TestLeaveRefusesAndDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		options := smallOptions()
		options.Floor = 1
		g := NewGate(options)
		place, _ := g.Admit(t.Context(), Ticket{})
		queued := make(chan *fault.Error, 1)
		go func() {
			_, refusal := g.Admit(t.Context(), Ticket{Wait: true})
			queued <- refusal
		}()
		synctest.Wait()
		g.Leave()
		is.Equal((<-queued).Kind, fault.Leaving)
		_, refusal := g.Admit(t.Context(), Ticket{Wait: true})
		is.Equal(refusal.State, fault.NotRun)
		select {
		case <-g.Drained():
			t.Fatal("drained with a request in flight")
		default:
		}
		place.Release()
		<-g.Drained()
		g.Return()
		_, refusal = g.Admit(t.Context(), Ticket{})
		is.True(refusal == nil)
	})
}

// A request with HomeWait queues at most that long.
func TestHomeWaitLimitsQueueTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		options := smallOptions()
		options.Floor = 1
		g := NewGate(options)
		place, _ := g.Admit(t.Context(), Ticket{})
		began := time.Now()
		_, refusal := g.Admit(t.Context(), Ticket{HomeWait: time.Second})
		is.Equal(refusal.Kind, fault.Overloaded)
		is.Equal(refusal.State, fault.NotRun)
		is.Equal(time.Since(began), time.Second)
		time.AfterFunc(300*time.Millisecond, place.Release)
		next, refusal := g.Admit(t.Context(), Ticket{HomeWait: time.Second})
		is.True(refusal == nil)
		next.Release()
	})
}
