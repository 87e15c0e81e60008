package discovery

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/plankridge/plankridge/internal/advice"
	"github.com/plankridge/plankridge/internal/vmlist"
)

const (
	// demandTimeConstant is the time after which a request has lost most of its weight (1 - 1/e) in what the
	// callers of a daemon ask for.
	demandTimeConstant = 1500 * time.Millisecond
	// minActiveDemand is in requests a second. A daemon with fewer counts as one without callers.
	minActiveDemand = 0.05
	// topDaemonsPerZone bounds the daemons of an availability zone that share a limit.
	topDaemonsPerZone = 16
	// idleReportTTL is how long a daemon that no longer has callers is reported, and maxIdleReported how many of
	// them are.
	idleReportTTL   = 10 * time.Second
	maxIdleReported = 16
)

// DemandRecord is what the callers of a daemon ask of a service, as daemons report it to each other.
type DemandRecord struct {
	Daemon            string  `json:"daemon"`
	RequestsPerSecond float64 `json:"requests_per_second"`
	// AgeMs is how long ago that was measured, in milliseconds.
	AgeMs int64 `json:"age_ms"`
}

// demand is what the callers of a daemon ask of a service.
type demand struct {
	requestsPerSecond float64
	measuredAt        time.Time
	// wasActive is set where the daemon has had callers before.
	wasActive bool
}

// decayed returns the mean as of a later time without a request.
func (d demand) decayed(now time.Time) demand {
	passed := max(0, now.Sub(d.measuredAt))
	return demand{requestsPerSecond: d.requestsPerSecond * math.Exp(-passed.Seconds()/demandTimeConstant.Seconds()), measuredAt: now}
}

// countRequest counts a request of this daemon's callers for a service; the caller holds the lock.
func (r *Registry) countRequest(service string, now time.Time) {
	mean := r.ownDemand[service].decayed(now)
	mean.requestsPerSecond += 1 / demandTimeConstant.Seconds()
	r.ownDemand[service] = mean
}

// reportDemands returns what daemons' callers ask of a service: this daemon's, those of the leading ones,
// and of those that no longer have any. This daemon's part goes by what it reports. The caller holds the
// lock.
func (r *Registry) reportDemands(service string, now time.Time) []DemandRecord {
	own := r.ownDemand[service].decayed(now)
	r.setDemand(service, r.self, own)
	r.updateQuotas(now)
	reported := []DemandRecord{{Daemon: r.self, RequestsPerSecond: own.requestsPerSecond}}
	for _, daemon := range append(r.topDaemons(service), r.recentlyIdleDaemons(service, now)...) {
		if daemon != r.self {
			one := r.demands[service][daemon]
			reported = append(reported, DemandRecord{Daemon: daemon, RequestsPerSecond: one.requestsPerSecond, AgeMs: now.Sub(one.measuredAt).Milliseconds()})
		}
	}
	return reported
}

// topDaemons returns the daemons of each availability zone whose callers ask most of a service. Those
// that differ by less than a factor of two are in the order of their IDs, so that daemons agree on them.
// The caller holds the lock.
func (r *Registry) topDaemons(service string) []string {
	zones := map[string][]string{}
	demands := r.demands[service]
	for daemon, one := range demands {
		if vm := r.daemons[daemon]; vm.State == vmlist.VMLive && one.requestsPerSecond >= minActiveDemand {
			zones[vm.Zone] = append(zones[vm.Zone], daemon)
		}
	}
	var leading []string
	for _, daemons := range zones {
		slices.SortFunc(daemons, func(a, b string) int {
			return cmp.Or(cmp.Compare(math.Ilogb(demands[b].requestsPerSecond), math.Ilogb(demands[a].requestsPerSecond)), cmp.Compare(a, b))
		})
		leading = append(leading, daemons[:min(len(daemons), topDaemonsPerZone)]...)
	}
	return leading
}

// recentlyIdleDaemons returns daemons that have had callers and lately have not; the caller holds the lock.
func (r *Registry) recentlyIdleDaemons(service string, now time.Time) []string {
	var idled []string
	for daemon, one := range r.demands[service] {
		if one.wasActive && one.requestsPerSecond < minActiveDemand && now.Sub(one.measuredAt) < idleReportTTL {
			idled = append(idled, daemon)
		}
	}
	slices.Sort(idled)
	return idled[:min(len(idled), maxIdleReported)]
}

// mergeDemands merges what another daemon reports. It returns whether that is news; the caller holds the
// lock.
func (r *Registry) mergeDemands(service string, records []DemandRecord, now time.Time) (changed bool) {
	for _, one := range records {
		at := now.Add(-ageFromMs(one.AgeMs))
		_, listed := r.daemons[one.Daemon]
		if !listed || one.Daemon == r.self || !advice.ValidNumber(one.RequestsPerSecond) || !at.After(r.demands[service][one.Daemon].measuredAt) {
			continue
		}
		r.setDemand(service, one.Daemon, demand{requestsPerSecond: one.RequestsPerSecond, measuredAt: at})
		changed = true
	}
	return changed
}

// setDemand notes what the callers of a daemon ask for; the caller holds the lock.
func (r *Registry) setDemand(service, daemon string, one demand) {
	if r.demands[service] == nil {
		r.demands[service] = map[string]demand{}
	}
	before := r.demands[service][daemon]
	one.wasActive = before.wasActive || before.requestsPerSecond >= minActiveDemand
	r.demands[service][daemon] = one
}

// removeDemand forgets a daemon that is gone; the caller holds the lock.
func (r *Registry) removeDemand(daemon string) {
	for _, byDaemon := range r.demands {
		delete(byDaemon, daemon)
	}
}
