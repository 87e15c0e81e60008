package backend

import (
	"time"

	"github.com/plankridge/plankridge/internal/route"
)

const (
	// connectTimeWeight is the weight of a new connection in the moving average of the connect
	// time.
	connectTimeWeight = 0.1
	// maxConnectTimeFactor bounds a sample by a multiple of the mean. A lost packet is
	// retransmitted after hundreds of times the round-trip time, which says nothing about the
	// latency.
	maxConnectTimeFactor = 3
	// minConnectTimeSamples is the number of connections from which on the mean is used.
	minConnectTimeSamples = 3
	// maxCrossZoneLatency bounds the result of crossZoneLatency.
	maxCrossZoneLatency = 500 * time.Millisecond
)

// connectTime is the moving average of the time that connections to a zone's servers take to open.
type connectTime struct {
	mean        time.Duration
	sampleCount int
}

// RecordDial records how long a connection to a server took to open.
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

// withSample returns the average with one more sample.
func (t connectTime) withSample(took time.Duration) connectTime {
	if t.sampleCount == 0 {
		return connectTime{mean: took, sampleCount: 1}
	}
	took = min(took, maxConnectTimeFactor*t.mean)
	return connectTime{mean: t.mean + time.Duration(connectTimeWeight*float64(took-t.mean)), sampleCount: t.sampleCount + 1}
}

// crossZoneLatency returns the additional network latency to a zone compared with the own zone. A
// connection opens in one round trip, so the difference of the connect times is used. The caller
// holds the lock.
func (v *View) crossZoneLatency(zone, own string) time.Duration {
	remote, local := v.connectTimes[zone], v.connectTimes[own]
	if remote.sampleCount < minConnectTimeSamples || local.sampleCount < minConnectTimeSamples {
		return route.DefaultCrossZoneLatency
	}
	return max(0, min(maxCrossZoneLatency, remote.mean-local.mean))
}
