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
	// demandTimeConstant is the time constant of the exponential decay of a daemon's request rate:
	// after it, a request has lost most of its weight (1 - 1/e).
	demandTimeConstant = 1500 * time.Millisecond
	// minActiveDemand, in requests per second, is the rate below which a daemon counts as having no
	// callers.
	minActiveDemand = 0.05
	// topDaemonsPerZone limits the daemons of one availability zone that share a server's limit.
	topDaemonsPerZone = 16
	// idleReportTTL is how long a daemon that has lost its callers is still reported. At most
	// maxIdleReported such daemons are included in a report.
	idleReportTTL   = 10 * time.Second
	maxIdleReported = 16
)

// DemandRecord is the request rate of one daemon's callers for a service, as exchanged between
// daemons.
type DemandRecord struct {
	Daemon            string  `json:"daemon"`
	RequestsPerSecond float64 `json:"requests_per_second"`
	// AgeMs is the age of the measurement, in milliseconds.
	AgeMs int64 `json:"age_ms"`
}

// demand is the request rate of one daemon's callers for a service.
type demand struct {
	requestsPerSecond float64
	measuredAt        time.Time
	// wasActive is set if the daemon has had callers before.
	wasActive bool
}

// decayed returns the rate at a later time if no request arrives until then.
func (d demand) decayed(now time.Time) demand {
	elapsed := max(0, now.Sub(d.measuredAt))
	return demand{requestsPerSecond: d.requestsPerSecond * math.Exp(-elapsed.Seconds()/demandTimeConstant.Seconds()), measuredAt: now}
}

// countRequest counts one request of this daemon's callers for a service. The caller must hold the
// lock.
func (r *Registry) countRequest(service string, now time.Time) {
	rate := r.ownDemand[service].decayed(now)
	rate.requestsPerSecond += 1 / demandTimeConstant.Seconds()
	r.ownDemand[service] = rate
}

// reportDemands returns the demand records to report for a service: this daemon's, those of the top
// daemons, and those of recently idle daemons. It first sets this daemon's own demand to the value
// that is reported, so that all daemons compute quotas from the same figures. The caller must hold
// the lock.
func (r *Registry) reportDemands(service string, now time.Time) []DemandRecord {
	own := r.ownDemand[service].decayed(now)
	r.setDemand(service, r.self, own)
	r.updateQuotas(now)
	reported := []DemandRecord{{Daemon: r.self, RequestsPerSecond: own.requestsPerSecond}}
	for _, daemon := range append(r.topDaemons(service), r.recentlyIdleDaemons(service, now)...) {
		if daemon != r.self {
			d := r.demands[service][daemon]
			reported = append(reported, DemandRecord{Daemon: daemon, RequestsPerSecond: d.requestsPerSecond, AgeMs: now.Sub(d.measuredAt).Milliseconds()})
		}
	}
	return reported
}

// topDaemons returns the daemons with the highest demand for a service in each availability zone.
// Rates are compared by their binary exponent and ties are ordered by daemon ID, so that daemons
// with slightly different data select the same set. The caller must hold the lock.
func (r *Registry) topDaemons(service string) []string {
	zones := map[string][]string{}
	demands := r.demands[service]
	for daemon, d := range demands {
		if vm := r.daemons[daemon]; vm.State == vmlist.VMLive && d.requestsPerSecond >= minActiveDemand {
			zones[vm.Zone] = append(zones[vm.Zone], daemon)
		}
	}
	var top []string
	for _, daemons := range zones {
		slices.SortFunc(daemons, func(a, b string) int {
			return cmp.Or(cmp.Compare(math.Ilogb(demands[b].requestsPerSecond), math.Ilogb(demands[a].requestsPerSecond)), cmp.Compare(a, b))
		})
		top = append(top, daemons[:min(len(daemons), topDaemonsPerZone)]...)
	}
	return top
}

// recentlyIdleDaemons returns daemons that had callers and recently lost them. The caller must hold
// the lock.
func (r *Registry) recentlyIdleDaemons(service string, now time.Time) []string {
	var idle []string
	for daemon, d := range r.demands[service] {
		if d.wasActive && d.requestsPerSecond < minActiveDemand && now.Sub(d.measuredAt) < idleReportTTL {
			idle = append(idle, daemon)
		}
	}
	slices.Sort(idle)
	return idle[:min(len(idle), maxIdleReported)]
}

// mergeDemands merges the demand records reported by another daemon and reports whether any record
// was newer. The caller must hold the lock.
func (r *Registry) mergeDemands(service string, records []DemandRecord, now time.Time) (changed bool) {
	for _, record := range records {
		at := now.Add(-ageFromMs(record.AgeMs))
		_, listed := r.daemons[record.Daemon]
		if !listed || record.Daemon == r.self || !advice.ValidNumber(record.RequestsPerSecond) || !at.After(r.demands[service][record.Daemon].measuredAt) {
			continue
		}
		r.setDemand(service, record.Daemon, demand{requestsPerSecond: record.RequestsPerSecond, measuredAt: at})
		changed = true
	}
	return changed
}

// setDemand stores the demand of a daemon's callers for a service. The caller must hold the lock.
func (r *Registry) setDemand(service, daemon string, d demand) {
	if r.demands[service] == nil {
		r.demands[service] = map[string]demand{}
	}
	before := r.demands[service][daemon]
	d.wasActive = before.wasActive || before.requestsPerSecond >= minActiveDemand
	r.demands[service][daemon] = d
}

// removeDemand deletes the demands of a removed daemon. The caller must hold the lock.
func (r *Registry) removeDemand(daemon string) {
	for _, byDaemon := range r.demands {
		delete(byDaemon, daemon)
	}
}
