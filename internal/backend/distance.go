package backend

import (
	"time"

	"github.com/plankridge/plankridge/internal/route"
)

const (
	// distanceWeight is the weight of a new connection in the time that connections to a
	// zone take to open.
	distanceWeight = 0.1
	// farthest bounds that time by what is known, as a factor: a lost packet is sent again
	// after hundreds of times as long, which says nothing of the distance.
	farthest = 3
	// dialsKnown is the number of connections after which the time is relied on.
	dialsKnown = 3
	// mostAway bounds what is made of it.
	mostAway = 500 * time.Millisecond
)

// distance is how long connections to the servers of a zone take to open.
type distance struct {
	mean  time.Duration
	dials int
}

// Dialed takes over how long a connection to a server took to open.
func (v *View) Dialed(address string, took time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range v.servers {
		if s.Address == address {
			v.distances[s.Zone] = v.distances[s.Zone].with(took)
			return
		}
	}
}

func (d distance) with(took time.Duration) distance {
	if d.dials == 0 {
		return distance{mean: took, dials: 1}
	}
	took = min(took, farthest*d.mean)
	return distance{mean: d.mean + time.Duration(distanceWeight*float64(took-d.mean)), dials: d.dials + 1}
}

// away returns how much longer the network takes to a zone than within the own one: a
// connection opens in one round trip. The caller holds the lock.
func (v *View) away(zone, own string) time.Duration {
	there, here := v.distances[zone], v.distances[own]
	if there.dials < dialsKnown || here.dials < dialsKnown {
		return route.StartAway
	}
	return max(0, min(mostAway, there.mean-here.mean))
}
