package rollout

// Key identifies a group of answers that are counted together.
type Key struct {
	Service string
	Route   string
	// Server is the key of the candidate's server that answered, or zero for all servers of the
	// stable version.
	Server uint32
}

// Tally counts answers and the bad ones among them: failures and slow answers.
type Tally struct {
	Answers, Bad int64
	// LatencySum and EventIntervalSum are sums over the answers of the stable version that did
	// not fail. LatencySum adds the time to the first event as a multiple of the prediction, or
	// in seconds where there is none; EventIntervalSum adds the mean time between events in
	// seconds.
	LatencySum, EventIntervalSum float64
}

func (t Tally) add(other Tally) Tally {
	return Tally{Answers: t.Answers + other.Answers, Bad: t.Bad + other.Bad, LatencySum: t.LatencySum + other.LatencySum, EventIntervalSum: t.EventIntervalSum + other.EventIntervalSum}
}

// since returns the answers counted after an earlier tally. It is never negative, because sums
// shrink when a daemon stops reporting.
func (t Tally) since(before Tally) Tally {
	answers := max(0, t.Answers-before.Answers)
	return Tally{Answers: answers, Bad: min(answers, max(0, t.Bad-before.Bad))}
}

// RequestCounts counts the requests for a service, and those sent to the candidate.
type RequestCounts struct{ Requests, Exposed int64 }

// Tallies are the counts of one daemon, or the sums over several.
type Tallies struct {
	Answers  map[Key]Tally
	Requests map[string]RequestCounts
}

// NewTallies returns empty counts.
func NewTallies() Tallies {
	return Tallies{Answers: map[Key]Tally{}, Requests: map[string]RequestCounts{}}
}

// Add adds the counts of other daemons.
func (t Tallies) Add(more Tallies) {
	for key, tally := range more.Answers {
		t.Answers[key] = t.Answers[key].add(tally)
	}
	for service, counts := range more.Requests {
		sum := t.Requests[service]
		sum.Requests += counts.Requests
		sum.Exposed += counts.Exposed
		t.Requests[service] = sum
	}
}

// Clone returns a copy.
func (t Tallies) Clone() Tallies {
	copied := NewTallies()
	copied.Add(t)
	return copied
}

// byRoute returns the tallies of one service by route, for all servers of the candidate
// together and for the stable version.
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

// byServer returns the tallies of the candidate's servers of one service by route and server.
// The empty route name holds the sums over all routes.
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
