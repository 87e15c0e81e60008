package catalog

import "errors"

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
