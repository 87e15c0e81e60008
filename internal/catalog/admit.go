package catalog

import "errors"

// Reasons why a request is not admitted by the configuration in force.
var (
	// ErrNoRoute means that no route matches the host and path.
	ErrNoRoute = errors.New("no route")
	// ErrUnknownKey means that nobody holds the key.
	ErrUnknownKey = errors.New("key is not known")
)

// Admission is what the configuration says of a request.
type Admission struct {
	Route *Route
	// Service is the one of the route's services that this request goes to.
	Service string
	// Workspace is empty on routes without a key.
	Workspace string
	// Rank is the urgency; zero is the most urgent.
	Rank int
}

// Admit finds the route of a request, one of its services and the workspace
// that holds its key. point is uniform in [0, 1) and picks the service.
func (c *Catalog) Admit(host, path, key string, point float64) (Admission, error) {
	route := c.Match(host, path)
	if route == nil {
		return Admission{}, ErrNoRoute
	}
	a := Admission{Route: route, Service: route.PickService(point), Rank: route.Rank}
	if !c.NeedsKey(route) {
		return a, nil
	}
	holder := c.WorkspaceByKey(key)
	if key == "" || holder == nil {
		return Admission{}, ErrUnknownKey
	}
	a.Workspace = holder.Name
	if holder.Rank != nil {
		a.Rank = *holder.Rank
	}
	return a, nil
}
