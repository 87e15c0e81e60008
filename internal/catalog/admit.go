package catalog

import (
	"errors"
	"math"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Errors that Admit returns.
var (
	// ErrNoRoute means that no route matches the host and path.
	ErrNoRoute = errors.New("no route")
	// ErrUnknownKey means that the key belongs to no workspace.
	ErrUnknownKey = errors.New("key is not known")
)

// Admission is the result of admitting a request: its route, service, workspace and rank.
type Admission struct {
	Route *Route
	// Service is the service selected from the route's splits.
	Service string
	// Workspace is empty for routes that need no key.
	Workspace string
	// Rank is the urgency of the request; zero is the most urgent.
	Rank int
}

// drawSalt makes the draw of a service independent of other draws by the ID of a request.
const drawSalt = "service|"

// Draw returns the number in [0, 1) that selects a service for a request, by the request's ID. All
// daemons draw the same number. Requests without an ID get a random one.
func Draw(requestID string) float64 {
	if requestID == "" {
		return rand.Float64()
	}
	return float64(xxhash.Sum64String(drawSalt+requestID)>>11) / (math.MaxUint64>>11 + 1)
}

// Admit returns the route of a request, the service selected from its splits, and the workspace
// that the key belongs to. point is uniform in [0, 1) and selects the service. Admit returns
// ErrNoRoute or ErrUnknownKey if the request is not admitted.
func (c *Catalog) Admit(host, path, key string, point float64) (Admission, error) {
	route := c.Match(host, path)
	if route == nil {
		return Admission{}, ErrNoRoute
	}
	a := Admission{Route: route, Service: route.PickService(point), Rank: route.Rank}
	if !c.NeedsKey(route) {
		return a, nil
	}
	workspace := c.WorkspaceByKey(key)
	if key == "" || workspace == nil {
		return Admission{}, ErrUnknownKey
	}
	a.Workspace = workspace.Name
	if workspace.Rank != nil {
		a.Rank = *workspace.Rank
	}
	return a, nil
}
