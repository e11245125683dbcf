package policy

// scenario describes the events of a trial.
type scenario struct {
	name string
	// rate returns the factor on the request rate at a second.
	rate func(second int) float64
	// returning returns the share of requests that return to a chat at a second.
	returning func(second int) float64
	// long reports whether returning chats are the longest ones.
	long func(second int) bool
	// down reports whether an engine is away at a second.
	down func(engine, second int) bool
	// stale is the share of routers whose target lists are 15 s old.
	stale float64
}

func constant(rate float64) func(int) float64 { return func(int) float64 { return rate } }

func scenarios() []scenario {
	usual := func(int) float64 { return 0.7 }
	never := func(int) bool { return false }
	up := func(int, int) bool { return false }
	steady := scenario{name: "steady", rate: constant(1), returning: usual, long: never, down: up}
	surge := steady
	surge.name = "surge"
	surge.rate = func(second int) float64 {
		if second >= 20 && second < 40 {
			return 2.5
		}
		return 1
	}
	surge.returning = func(second int) float64 {
		if second >= 20 && second < 40 {
			return 0.3
		}
		return 0.7
	}
	burst := steady
	burst.name = "burst"
	burst.rate = func(second int) float64 {
		if second >= 20 && second < 30 {
			return 3
		}
		return 1
	}
	burst.returning = func(second int) float64 {
		if second >= 20 && second < 30 {
			return 0.98
		}
		return 0.7
	}
	burst.long = func(second int) bool { return second >= 20 && second < 30 }
	churn := steady
	churn.name = "churn"
	churn.down = func(engine, second int) bool {
		// A tenth of the engines goes away within a minute, each for 30 s.
		gone := engine % 10
		from := engine * 7 % 60
		return gone == 0 && second >= from && second < from+30
	}
	flap := steady
	flap.name = "flap"
	flap.down = func(engine, second int) bool { return engine%20 == 0 && second/5%2 == 1 }
	stale := churn
	stale.name = "stale"
	stale.stale = 0.5
	return []scenario{steady, surge, burst, churn, flap, stale}
}
