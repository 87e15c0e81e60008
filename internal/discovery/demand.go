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
	// demandMemory is the time after which a request has lost most of its weight (1 - 1/e) in what the
	// callers of a daemon ask for.
	demandMemory = 1500 * time.Millisecond
	// minDemand is in requests a second. A daemon with fewer counts as one without callers.
	minDemand = 0.05
	// leadingOfZone bounds the daemons of an availability zone that share a limit.
	leadingOfZone = 16
	// idledFor is how long a daemon that no longer has callers is reported, and maxIdled how many of
	// them are.
	idledFor = 10 * time.Second
	maxIdled = 16
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
	perSecond float64
	at        time.Time
	// idled is set where the daemon has had callers before.
	idled bool
}

// decayed returns the mean as of a later time without a request.
func (d demand) decayed(now time.Time) demand {
	passed := max(0, now.Sub(d.at))
	return demand{perSecond: d.perSecond * math.Exp(-passed.Seconds()/demandMemory.Seconds()), at: now}
}

// countRequest counts a request of this daemon's callers for a service; the caller holds the lock.
func (r *Registry) countRequest(service string, now time.Time) {
	mean := r.ownDemand[service].decayed(now)
	mean.perSecond += 1 / demandMemory.Seconds()
	r.ownDemand[service] = mean
}

// reportDemands returns what daemons' callers ask of a service: this daemon's, those of the leading ones,
// and of those that no longer have any. This daemon's part goes by what it reports. The caller holds the
// lock.
func (r *Registry) reportDemands(service string, now time.Time) []DemandRecord {
	own := r.ownDemand[service].decayed(now)
	r.setDemand(service, r.self, own)
	r.shareLimits(now)
	reported := []DemandRecord{{Daemon: r.self, RequestsPerSecond: own.perSecond}}
	for _, daemon := range append(r.leadingDaemons(service), r.idledDaemons(service, now)...) {
		if daemon != r.self {
			one := r.demands[service][daemon]
			reported = append(reported, DemandRecord{Daemon: daemon, RequestsPerSecond: one.perSecond, AgeMs: now.Sub(one.at).Milliseconds()})
		}
	}
	return reported
}

// leadingDaemons returns the daemons of each availability zone whose callers ask most of a service. Those
// that differ by less than a factor of two are in the order of their IDs, so that daemons agree on them.
// The caller holds the lock.
func (r *Registry) leadingDaemons(service string) []string {
	zones := map[string][]string{}
	demands := r.demands[service]
	for daemon, one := range demands {
		if vm := r.daemons[daemon]; vm.State == vmlist.VMLive && one.perSecond >= minDemand {
			zones[vm.Zone] = append(zones[vm.Zone], daemon)
		}
	}
	var leading []string
	for _, daemons := range zones {
		slices.SortFunc(daemons, func(a, b string) int {
			return cmp.Or(cmp.Compare(math.Ilogb(demands[b].perSecond), math.Ilogb(demands[a].perSecond)), cmp.Compare(a, b))
		})
		leading = append(leading, daemons[:min(len(daemons), leadingOfZone)]...)
	}
	return leading
}

// idledDaemons returns daemons that have had callers and lately have not; the caller holds the lock.
func (r *Registry) idledDaemons(service string, now time.Time) []string {
	var idled []string
	for daemon, one := range r.demands[service] {
		if one.idled && one.perSecond < minDemand && now.Sub(one.at) < idledFor {
			idled = append(idled, daemon)
		}
	}
	slices.Sort(idled)
	return idled[:min(len(idled), maxIdled)]
}

// mergeDemands merges what another daemon reports. It returns whether that is news; the caller holds the
// lock.
func (r *Registry) mergeDemands(service string, records []DemandRecord, now time.Time) (changed bool) {
	for _, one := range records {
		at := now.Add(-age(one.AgeMs))
		_, listed := r.daemons[one.Daemon]
		if !listed || one.Daemon == r.self || !advice.ValidNumber(one.RequestsPerSecond) || !at.After(r.demands[service][one.Daemon].at) {
			continue
		}
		r.setDemand(service, one.Daemon, demand{perSecond: one.RequestsPerSecond, at: at})
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
	one.idled = before.idled || before.perSecond >= minDemand
	r.demands[service][daemon] = one
}

// forgetDemand forgets a daemon that is gone; the caller holds the lock.
func (r *Registry) forgetDemand(daemon string) {
	for _, byDaemon := range r.demands {
		delete(byDaemon, daemon)
	}
}
