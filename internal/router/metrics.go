package router

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metricsHandler serves the metrics address.
func (r *Router) metricsHandler() http.Handler {
	e := echo.New()
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(r.metrics, promhttp.HandlerOpts{})))
	return e
}

// stateCollector tells what the daemon believes, and how old that is, whenever its metrics
// are asked for. It implements prometheus.Collector.
type stateCollector struct{ *Router }

// The metrics of beliefs.
var (
	configVersion    = describe("config_version", "Version of the configuration in force; 0 before the first.")
	configAge        = describe("config_age_seconds", "Time since the configuration came into force.")
	serversListed    = describe("servers", "Backend servers as this daemon believes.", "service", "state")
	serversWithLimit = describe("servers_with_limit", "Backend servers whose answers name a limit.", "service")
	serversAge       = describe("servers_age_seconds", "Time since the store was last known to list just the servers that this daemon believes in.")
	serversRevision  = describe("servers_revision", "Revision of the store up to which the servers are known.")
	storeFailing     = describe("store_failing", "1 while the store does not answer this daemon.")
	leaseFence       = describe("lease_fence", "Fencing number of the lease that this daemon holds; 0 for none.")
	daemonCount      = describe("daemons", "Daemons of the deployment, this one included.", "state")
	requestsHeldBack = describe("requests_held_back", "What requests ask that ended the servers that ran them and is held back.")
	daemonRole       = describe("role", "1 while the daemon has the role.", "role")
	rollOutState     = describe("rollout", "1 for the state that the store has of the order to move a service to a version.", "service", "version", "state")
	rollOutHalted    = describe("rollout_halted", "1 once the version was found to be bad and gets nothing more.", "service", "version")
	rollOutShare     = describe("rollout_share", "Share of all requests that the holder of the lease asks to be sent to the version; 0 for the share that each daemon keeps by itself.", "service", "version")
	rollOutSent      = describe("rollout_requests", "Requests for the service since the order at all daemons that are heard, and those that its version got.", "service", "version", "got")
)

func describe(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("plankridge_"+name, help, labels, nil)
}

// Describe implements prometheus.Collector.
func (b stateCollector) Describe(descs chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{configVersion, configAge, serversListed, serversWithLimit, serversAge, serversRevision, storeFailing, leaseFence, daemonCount, requestsHeldBack, daemonRole, rollOutState, rollOutHalted, rollOutShare, rollOutSent} {
		descs <- d
	}
}

// Collect implements prometheus.Collector.
func (b stateCollector) Collect(metrics chan<- prometheus.Metric) {
	now := time.Now()
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	if c := b.state.Catalog(); c != nil {
		gauge(configVersion, float64(c.Version))
		gauge(configAge, now.Sub(c.AppliedAt).Seconds())
	} else {
		gauge(configVersion, 0)
	}
	b.collectServers(gauge, now)
	age, failing := b.state.Freshness()
	gauge(serversAge, age.Seconds())
	gauge(serversRevision, float64(b.state.serversRevision()))
	gauge(storeFailing, boolValue(failing))
	gauge(leaseFence, float64(b.state.ownFence()))
	reach, _ := b.state.reach(now)
	gauge(daemonCount, float64(reach.Reachable), "heard")
	gauge(daemonCount, float64(reach.Known), "known")
	gauge(requestsHeldBack, float64(b.state.quarantine.BlockedCount(now)))
	plan := b.plan(now)
	gauge(daemonRole, boolValue(plan.Relay), "relay")
	gauge(daemonRole, boolValue(plan.Leader), "lead")
	gauge(daemonRole, boolValue(b.following.Load()), "follows_store")
	gauge(daemonRole, boolValue(b.sentinel.Load()), "sentinel")
	b.collectRollOuts(gauge, now)
}

// collectRollOuts tells how far roll-outs are. There is one for each service at the most.
func (b stateCollector) collectRollOuts(gauge func(d *prometheus.Desc, value float64, labels ...string), now time.Time) {
	sums := b.state.versionSums(now)
	for _, word := range b.rollOuts.Statuses(now) {
		gauge(rollOutState, 1, word.Service, word.Version, word.State.String())
		gauge(rollOutHalted, boolValue(word.Halted), word.Service, word.Version)
		gauge(rollOutShare, word.Step.Share, word.Service, word.Version)
		sent := sums.Requests[word.Service]
		gauge(rollOutSent, float64(sent.Requests), word.Service, word.Version, "any")
		gauge(rollOutSent, float64(sent.Exposed), word.Service, word.Version, "version")
	}
}

// collectServers counts the servers by service and state. Services come from the
// configuration, so that their number is bounded.
func (b stateCollector) collectServers(gauge func(d *prometheus.Desc, value float64, labels ...string), now time.Time) {
	type group struct{ service, state string }
	counts, limited := map[group]int{}, map[string]int{}
	for _, s := range b.state.view.Servers(now) {
		state := "ready"
		switch {
		case !s.Ready:
			state = "draining"
		case s.Suspect:
			state = "suspect"
		}
		counts[group{s.Service, state}]++
		if s.Limit.Limited {
			limited[s.Service]++
		}
	}
	for service, n := range limited {
		gauge(serversWithLimit, float64(n), service)
	}
	for g, n := range counts {
		gauge(serversListed, float64(n), g.service, g.state)
	}
}

func boolValue(set bool) float64 {
	if set {
		return 1
	}
	return 0
}
