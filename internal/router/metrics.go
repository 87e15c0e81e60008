package router

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metricsHandler serves the metrics endpoint.
func (r *Router) metricsHandler() http.Handler {
	e := echo.New()
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(r.metrics, promhttp.HandlerOpts{})))
	return e
}

// stateCollector exports the daemon's current state and its age. It implements
// prometheus.Collector.
type stateCollector struct{ *Router }

// Descriptions of the metrics that stateCollector exports.
var (
	configVersion    = describe("config_version", "Version of the configuration in force; 0 before the first.")
	configAge        = describe("config_age_seconds", "Time since the configuration came into force.")
	serversListed    = describe("servers", "Backend servers as this daemon believes.", "service", "state")
	serversWithLimit = describe("servers_with_limit", "Backend servers whose answers name a limit.", "service")
	serverSpeed      = describe("server_speed", "Smallest, mean and largest assumed speed of the servers of a service, relative to the service; 1 where servers are alike.", "service", "of", "statistic")
	serversAge       = describe("servers_age_seconds", "Time since the store was last known to list just the servers that this daemon believes in.")
	serversRevision  = describe("servers_revision", "Revision of the store up to which the servers are known.")
	storeFailing     = describe("store_failing", "1 while the store does not answer this daemon.")
	leaseFence       = describe("lease_fence", "Fencing number of the lease that this daemon holds; 0 for none.")
	daemonCount      = describe("daemons", "Daemons of the deployment, this one included.", "state")
	requestsHeldBack = describe("requests_held_back", "What requests ask that ended the servers that ran them and is held back.")
	daemonRole       = describe("role", "1 while the daemon has the role.", "role")
	streamSerial     = describe("stream_assignment_serial", "Serial of the assignment of streams to versions in force; -1 before it is known.")
	streamAge        = describe("stream_assignment_age_seconds", "Time since the assignment of streams to versions was last known to be the newest one; -1 if it never was.")
	streamBuckets    = describe("stream_buckets", "Buckets of streams by the version at which they begin, and those that move to another.", "service", "version", "state")
	retriesAllowed   = describe("retries_allowed", "Retries that all daemons may send in a window, as far as this one knows.", "service")
	retriesSpent     = describe("retries_spent", "Retries that all daemons have sent in the last window, as far as this one knows.", "service")
	admissionShare   = describe("admission_share", "Share of the requests that the admission level of a service admits, by class of rank; 1 while it does not bind.", "service", "class")
	// admissionUtilization is above 1 while callers compete for too little capacity.
	admissionUtilization = describe("admission_utilization", "Predicted demand for a service divided by what its servers can do in time.", "service")
	rollOutState         = describe("rollout", "1 for the state that the store has of the order to move a service to a version.", "service", "version", "state")
	rollOutHalted        = describe("rollout_halted", "1 once the version was found to be bad and gets nothing more.", "service", "version")
	rollOutShare         = describe("rollout_share", "Share of all requests that the holder of the lease asks to be sent to the version; 0 for the share that each daemon keeps by itself.", "service", "version")
	rollOutSent          = describe("rollout_requests", "Requests for the service since the order at all daemons that are heard, and those that its version got.", "service", "version", "got")
)

func describe(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("plankridge_"+name, help, labels, nil)
}

// Describe implements prometheus.Collector.
func (sc stateCollector) Describe(descs chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{configVersion, configAge, serversListed, serversWithLimit, serverSpeed, serversAge, serversRevision, storeFailing, leaseFence, daemonCount, requestsHeldBack, daemonRole, streamSerial, streamAge, streamBuckets, retriesAllowed, retriesSpent, admissionShare, admissionUtilization, rollOutState, rollOutHalted, rollOutShare, rollOutSent} {
		descs <- d
	}
}

// Collect implements prometheus.Collector.
func (sc stateCollector) Collect(metrics chan<- prometheus.Metric) {
	now := time.Now()
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	if c := sc.state.Catalog(); c != nil {
		gauge(configVersion, float64(c.Version))
		gauge(configAge, now.Sub(c.AppliedAt).Seconds())
	} else {
		gauge(configVersion, 0)
	}
	sc.collectServers(gauge, now)
	age, failing := sc.state.Freshness()
	gauge(serversAge, age.Seconds())
	gauge(serversRevision, float64(sc.state.serversRevision()))
	gauge(storeFailing, boolValue(failing))
	gauge(leaseFence, float64(sc.state.ownFence()))
	reach, _ := sc.state.reach(now)
	gauge(daemonCount, float64(reach.Reachable), "heard")
	gauge(daemonCount, float64(reach.Known), "known")
	gauge(requestsHeldBack, float64(sc.state.quarantine.BlockedCount(now)))
	plan := sc.plan(now)
	gauge(daemonRole, boolValue(plan.Relay), "relay")
	gauge(daemonRole, boolValue(plan.Leader), "lead")
	gauge(daemonRole, boolValue(sc.following.Load()), "follows_store")
	gauge(daemonRole, boolValue(sc.sentinel.Load()), "sentinel")
	for service, budget := range sc.state.limiter.retryStates() {
		gauge(retriesAllowed, budget.Allowed, service)
		gauge(retriesSpent, budget.Spent, service)
	}
	sc.collectLevels(gauge)
	sc.collectStreamVersions(gauge)
	sc.collectRollOuts(gauge, now)
}

// collectLevels exports the admission levels. The services come from the configuration.
func (sc stateCollector) collectLevels(gauge func(d *prometheus.Desc, value float64, labels ...string)) {
	for service, status := range sc.state.admission.Statuses() {
		gauge(admissionUtilization, status.Utilization, service)
		for class, share := range status.ByClass {
			gauge(admissionShare, share, service, strconv.Itoa(class))
		}
	}
}

// collectStreamVersions exports the assignment of streams to versions.
func (sc stateCollector) collectStreamVersions(gauge func(d *prometheus.Desc, value float64, labels ...string)) {
	adopted, ageMs := sc.state.streamVersions.adoptedWithAge()
	gauge(streamSerial, float64(adopted-1))
	age := -1.0
	if ageMs > 0 {
		age = float64(ageMs) / 1000
	}
	gauge(streamAge, age)
	a := sc.state.streamVersions.get()
	if a == nil {
		return
	}
	for _, count := range a.Counts() {
		gauge(streamBuckets, float64(count.Settled), count.Service, count.Version, "settled")
		gauge(streamBuckets, float64(count.Moving), count.Service, count.Version, "moving")
	}
}

// collectRollOuts exports the progress of the roll-outs. There is at most one per service.
func (sc stateCollector) collectRollOuts(gauge func(d *prometheus.Desc, value float64, labels ...string), now time.Time) {
	sums := sc.state.versionSums(now)
	for _, status := range sc.rollOuts.Statuses(now) {
		gauge(rollOutState, 1, status.Service, status.Version, status.State.String())
		gauge(rollOutHalted, boolValue(status.Halted), status.Service, status.Version)
		gauge(rollOutShare, status.Step.Share, status.Service, status.Version)
		sent := sums.Requests[status.Service]
		gauge(rollOutSent, float64(sent.Requests), status.Service, status.Version, "any")
		gauge(rollOutSent, float64(sent.Exposed), status.Service, status.Version, "version")
	}
}

// collectServers counts the servers by service and state. The services come from the configuration,
// so the number of series is bounded.
func (sc stateCollector) collectServers(gauge func(d *prometheus.Desc, value float64, labels ...string), now time.Time) {
	type group struct{ service, state string }
	counts, limited, speeds := map[group]int{}, map[string]int{}, map[speedOf][]float64{}
	for _, s := range sc.state.view.Servers(now) {
		state := "ready"
		switch {
		case !s.Ready:
			state = "draining"
		case s.Suspect:
			state = "suspect"
		}
		counts[group{s.Service, state}]++
		if s.Ready {
			for of, speed := range map[string]float64{"prefill": s.PrefillSpeed, "step": s.StepSpeed} {
				key := speedOf{s.Service, of}
				speeds[key] = append(speeds[key], speed)
			}
		}
		if s.Limit.Limited {
			limited[s.Service]++
		}
	}
	collectSpeeds(gauge, speeds)
	for service, n := range limited {
		gauge(serversWithLimit, float64(n), service)
	}
	for g, n := range counts {
		gauge(serversListed, float64(n), g.service, g.state)
	}
}

// speedOf is what a speed refers to: a service's reading of prompts or its generation of tokens.
type speedOf struct{ service, of string }

// collectSpeeds exports the speeds of the ready servers.
func collectSpeeds(gauge func(d *prometheus.Desc, value float64, labels ...string), speeds map[speedOf][]float64) {
	for key, values := range speeds {
		sum := 0.0
		for _, speed := range values {
			sum += speed
		}
		gauge(serverSpeed, slices.Min(values), key.service, key.of, "min")
		gauge(serverSpeed, sum/float64(len(values)), key.service, key.of, "mean")
		gauge(serverSpeed, slices.Max(values), key.service, key.of, "max")
	}
}

func boolValue(set bool) float64 {
	if set {
		return 1
	}
	return 0
}
