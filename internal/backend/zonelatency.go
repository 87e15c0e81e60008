package backend

import (
	"time"

	"github.com/plankridge/plankridge/internal/route"
)

const (
	// connectTimeWeight is the weight of a new connection in the time that connections to a
	// zone take to open.
	connectTimeWeight = 0.1
	// maxConnectTimeFactor bounds that time by what is known, as a factor: a lost packet is sent again
	// after hundreds of times as long, which says nothing of the distance.
	maxConnectTimeFactor = 3
	// minDials is the number of connections after which the time is relied on.
	minDials = 3
	// maxCrossZoneLatency bounds what is made of it.
	maxCrossZoneLatency = 500 * time.Millisecond
)

// connectTime is how long connections to the servers of a zone take to open.
type connectTime struct {
	mean  time.Duration
	dials int
}

// RecordDial takes over how long a connection to a server took to open.
func (v *View) RecordDial(address string, took time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range v.servers {
		if s.Address == address {
			v.connectTimes[s.Zone] = v.connectTimes[s.Zone].withSample(took)
			return
		}
	}
}

func (d connectTime) withSample(took time.Duration) connectTime {
	if d.dials == 0 {
		return connectTime{mean: took, dials: 1}
	}
	took = min(took, maxConnectTimeFactor*d.mean)
	return connectTime{mean: d.mean + time.Duration(connectTimeWeight*float64(took-d.mean)), dials: d.dials + 1}
}

// crossZoneLatency returns how much longer the network takes to a zone than within the own one: a
// connection opens in one round trip. The caller holds the lock.
func (v *View) crossZoneLatency(zone, own string) time.Duration {
	there, here := v.connectTimes[zone], v.connectTimes[own]
	if there.dials < minDials || here.dials < minDials {
		return route.DefaultCrossZoneLatency
	}
	return max(0, min(maxCrossZoneLatency, there.mean-here.mean))
}
