package backend

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// speedCenterPeriod is the time constant with which the mean of a service follows its servers. The
	// service's fits follow at a similar rate, so predictions hold while servers come and go. While the
	// speeds are first learned it is as long as that has taken, at least minCenterPeriod.
	speedCenterPeriod = time.Minute
	minCenterPeriod   = time.Second
	// minLearnedShare is the share of a service's servers whose speeds must be known for the speeds to
	// count and for the mean to follow them. A daemon that has just started learns the servers one
	// after the other.
	minLearnedShare = 0.75
	// minKnownShare is the share below which the speeds no longer count. New servers replace up to all
	// reclaimable ones of a zone at once.
	minKnownShare = 0.25
	// maxCommonSamples bounds the number of servers whose median shift is computed, which takes some
	// microseconds.
	maxCommonSamples = 99
)

// speedCenter is what the speeds of a service's servers are relative to, as binary logarithms.
type speedCenter struct {
	// mean is the mean of the estimates. It starts at zero and follows slowly. The fits are learned from
	// times that are converted to the mean server, so that the mean tends to zero, and neither the fits
	// nor the speeds drift.
	mean float64
	// common is the median shift of the servers from their own averages. In an overload, all servers
	// seem to be slower, which says nothing about the differences between them.
	common float64
	// residual is the median of the recent deviations from the estimates. An overload shows in it at
	// once, and is therefore taken for no change of single servers.
	residual float64
}

func (c *speedCenter) log2() float64 { return c.mean + c.common }

// centerSums gathers what the center of one measure follows.
type centerSums struct {
	sum, learned      float64
	shifts, residuals []float64
}

// add adds a ready server, and updates the average of its estimate.
func (c *centerSums) add(m *speedMeasure, elapsed time.Duration) {
	if !m.known.Learned() {
		return
	}
	if !m.averaged {
		m.slow, m.averaged = m.known.Log2, true
	}
	m.slow += followed(elapsed, speedCenterPeriod) * (m.known.Log2 - m.slow)
	c.sum += m.known.Log2
	c.learned++
	if len(c.shifts) < maxCommonSamples {
		c.shifts, c.residuals = append(c.shifts, m.known.Log2-m.slow), append(c.residuals, m.known.Residual())
	}
}

// move moves a center by the given share of its distance from the mean.
func (c *centerSums) move(center *speedCenter, share float64) {
	if c.learned == 0 {
		return
	}
	center.mean += share * (c.sum/c.learned - center.mean)
	center.common, center.residual = medianShift(c.shifts), medianShift(c.residuals)
}

// medianShift returns the median, or the smaller one of the two in the middle.
func medianShift(shifts []float64) float64 {
	slices.Sort(shifts)
	low, high := shifts[(len(shifts)-1)/2], shifts[len(shifts)/2]
	return slices.MinFunc([]float64{low, high}, func(a, b float64) int { return cmp.Compare(math.Abs(a), math.Abs(b)) })
}

// moveCenters moves the centers of the services towards the speeds of their ready servers. The caller holds
// the lock.
func (v *View) moveCenters(elapsed time.Duration, now time.Time) {
	type sums struct {
		ready         float64
		prefill, step centerSums
	}
	services := map[string]*sums{}
	for _, s := range v.servers {
		if !s.ready() {
			continue
		}
		service := services[s.Service]
		if service == nil {
			service = &sums{}
			services[s.Service] = service
		}
		service.ready++
		service.prefill.add(&s.speeds.prefill, elapsed)
		service.step.add(&s.speeds.step, elapsed)
	}
	for name, found := range services {
		service := v.serviceSpeedsOf(name)
		learned := max(found.prefill.learned, found.step.learned)
		if !service.known && learned >= minLearnedShare*found.ready {
			service.known, service.knownSince = true, now
		}
		service.known = service.known && learned >= minKnownShare*found.ready
		if !service.known || learned < minLearnedShare*found.ready {
			continue
		}
		share := followed(elapsed, max(minCenterPeriod, min(speedCenterPeriod, now.Sub(service.knownSince))))
		found.prefill.move(&service.prefill, share)
		found.step.move(&service.step, share)
	}
}
