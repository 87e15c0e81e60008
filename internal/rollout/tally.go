package rollout

// Key names what answers are counted by.
type Key struct {
	Service string
	Route   string
	// Server is the key of the candidate's server that answered, zero for all servers of the
	// stable version.
	Server uint32
}

// Tally counts answers, and the bad ones among them: failures, and those that took several
// times as long as they should.
type Tally struct {
	Answers, Bad int64
	// LatencySum and Each add up, over answers of the stable version that were no failures, how long
	// the first event took, as a multiple of what was predicted or in seconds, and the mean
	// time between events, in seconds.
	LatencySum, EventIntervalSum float64
}

func (t Tally) add(other Tally) Tally {
	return Tally{Answers: t.Answers + other.Answers, Bad: t.Bad + other.Bad, LatencySum: t.LatencySum + other.LatencySum, EventIntervalSum: t.EventIntervalSum + other.EventIntervalSum}
}

// since returns what has come since an earlier tally. Sums shrink when a daemon that was
// counted in falls silent.
func (t Tally) since(before Tally) Tally {
	answers := max(0, t.Answers-before.Answers)
	return Tally{Answers: answers, Bad: min(answers, max(0, t.Bad-before.Bad))}
}

// RequestCounts counts the requests for a service, and those sent to the candidate.
type RequestCounts struct{ Requests, Exposed int64 }

// Tallies are the counts of a daemon, or the sums over many.
type Tallies struct {
	Answers  map[Key]Tally
	Requests map[string]RequestCounts
}

// NewTallies returns counts of nothing.
func NewTallies() Tallies {
	return Tallies{Answers: map[Key]Tally{}, Requests: map[string]RequestCounts{}}
}

// Add adds what others have counted.
func (t Tallies) Add(more Tallies) {
	for key, tally := range more.Answers {
		t.Answers[key] = t.Answers[key].add(tally)
	}
	for service, sent := range more.Requests {
		sum := t.Requests[service]
		sum.Requests += sent.Requests
		sum.Exposed += sent.Exposed
		t.Requests[service] = sum
	}
}

// Clone returns a copy.
func (t Tallies) Clone() Tallies {
	copied := NewTallies()
	copied.Add(t)
	return copied
}

// byRoute returns the tallies of one service by route: those of the candidate's servers
// together, and those of the stable version.
func (t Tallies) byRoute(service string) (candidate, stable map[string]Tally) {
	candidate, stable = map[string]Tally{}, map[string]Tally{}
	for key, tally := range t.Answers {
		switch {
		case key.Service != service:
		case key.Server == 0:
			stable[key.Route] = stable[key.Route].add(tally)
		default:
			candidate[key.Route] = candidate[key.Route].add(tally)
		}
	}
	return candidate, stable
}

// byServer returns the tallies of the candidate's servers of one service by route, and over
// all routes under the empty name.
func (t Tallies) byServer(service string) map[string]map[uint32]Tally {
	servers := map[string]map[uint32]Tally{"": {}}
	for key, tally := range t.Answers {
		if key.Service != service || key.Server == 0 {
			continue
		}
		if servers[key.Route] == nil {
			servers[key.Route] = map[uint32]Tally{}
		}
		servers[key.Route][key.Server] = tally
		servers[""][key.Server] = servers[""][key.Server].add(tally)
	}
	return servers
}
