// Package admission decides which requests for a service are refused at once while callers compete
// for too little capacity: the least urgent ones first, with a floor for every class of rank, and with
// max-min fair shares between workspaces. All daemons derive the same level from the same sums. The
// package does no I/O and has no clock.
package admission

import (
	"maps"
	"sync"
	"time"

	"github.com/plankridge/plankridge/internal/demand"
	"github.com/plankridge/plankridge/internal/route"
)

// State is what the level of a service is derived from.
type State struct {
	// Demand is the load that callers put on the service, and Parts the part of it whose origin is
	// known. Both are sums over the daemons that can be reached.
	Demand demand.Load
	Parts  demand.Parts
	// Own is this daemon's own demand by origin, in busy engines. It shows how the demand of a
	// workspace divides among the classes.
	Own map[demand.Origin]float64
	// Coverage is the share of the known daemons that the sums include. The others are assumed to
	// have the same demand.
	Coverage float64
	// Servers is the number of ready servers.
	Servers int
	// Backlog is the mean time that a server needs for the prompts that wait at it.
	Backlog time.Duration
	// Target is the target for the first event of the least urgent requests.
	Target time.Duration
	// Weights are the allowances of the workspaces. Those without one get the mean.
	Weights map[string]float64
	// Age is the age of the sums, for logs.
	Age time.Duration
}

// Request is what the decision on a request depends on.
type Request struct {
	// Class is the class of the request's rank; see route.RankClass.
	Class     int
	Workspace string
	// Retry is set if the caller has tried before.
	Retry bool
	// Draw is uniform in [0, 1) and independent of other draws.
	Draw float64
	// MaxRetryWait is the longest time after which the caller would try again.
	MaxRetryWait time.Duration
}

// Verdict is the decision on a request, with what it is based on.
type Verdict struct {
	Admitted bool
	// Binding is set while the service's level refuses requests.
	Binding bool
	// Share is the share of such requests that is admitted, Level that of the whole demand.
	Share, Level float64
	// Utilization is the predicted demand divided by what the servers can do in time.
	Utilization float64
	Backlog     time.Duration
	// SumsAge is the age of the sums.
	SumsAge time.Duration
	// RetryAfter is when the caller should try again if the request is refused. Zero means that a
	// retry is likely to be in vain.
	RetryAfter time.Duration
}

// Controller holds the levels of a daemon's services. It is safe for concurrent use.
type Controller struct {
	mu       sync.Mutex
	services map[string]*level
}

// NewController returns a controller without services. It admits all requests.
func NewController() *Controller { return &Controller{services: map[string]*level{}} }

// SetServices sets the services that have a level: those that get requests of several ranks.
func (c *Controller) SetServices(ranked map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.services, func(service string, _ *level) bool { return !ranked[service] })
	for service, on := range ranked {
		if on && c.services[service] == nil {
			c.services[service] = newLevel()
		}
	}
}

// Services returns the services that have a level.
func (c *Controller) Services() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	services := make([]string, 0, len(c.services))
	for service := range c.services {
		services = append(services, service)
	}
	return services
}

// Update derives a service's level from new sums.
func (c *Controller) Update(service string, state State, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.services[service]; l != nil {
		l.update(state, now)
	}
}

// UrgentUse returns, for each class of a service, the part of the servers' time that goes to prompts
// of more urgent classes.
func (c *Controller) UrgentUse(service string) [route.RankClasses]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.services[service]
	if l == nil {
		return [route.RankClasses]float64{}
	}
	return l.state.UrgentUse(l.classShares())
}

// Near reports whether a service is so close to overload that daemons report demand by workspace.
func (c *Controller) Near(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.services[service]
	return l != nil && (l.binding || l.utilization > nearUtilization)
}

// Status is the state of a service's level, for operators.
type Status struct {
	// Binding is set while requests are refused. Share is the share of the demand that is admitted.
	Binding     bool
	Share       float64
	Utilization float64
	// ByClass are the shares of the classes, over all workspaces.
	ByClass [route.RankClasses]float64
}

// Statuses returns the states of all services that have a level.
func (c *Controller) Statuses() map[string]Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	statuses := make(map[string]Status, len(c.services))
	for service, l := range c.services {
		statuses[service] = Status{Binding: l.binding, Share: l.share, Utilization: l.utilization, ByClass: l.classShares()}
	}
	return statuses
}

// Decide decides on a request. ok is false if the service has no level, so that there is nothing to
// decide.
func (c *Controller) Decide(service string, r Request) (verdict Verdict, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.services[service]
	if l == nil {
		return Verdict{}, false
	}
	return l.decide(r), true
}
