package router

import (
	"github.com/plankridge/plankridge/internal/catalog"
	"github.com/plankridge/plankridge/internal/route"
)

// rankedServices returns the services that get requests of several classes of rank. The ranks of the
// requests make no difference at the others.
func rankedServices(c *catalog.Catalog) map[string]bool {
	classes := map[string]map[int]bool{}
	for i := range c.Routes {
		for _, split := range c.Routes[i].Splits {
			if classes[split.Service] == nil {
				classes[split.Service] = map[int]bool{}
			}
			for _, rank := range routeRanks(c, &c.Routes[i]) {
				classes[split.Service][route.RankClass(rank)] = true
			}
		}
	}
	ranked := map[string]bool{}
	for service, found := range classes {
		ranked[service] = len(found) > 1
	}
	return ranked
}

// routeRanks returns the ranks that requests of a route have: the route's, and those of workspaces
// that replace it.
func routeRanks(c *catalog.Catalog, r *catalog.Route) []int {
	ranks := []int{r.Rank}
	if !c.NeedsKey(r) {
		return ranks
	}
	for i := range c.Workspaces {
		if rank := c.Workspaces[i].Rank; rank != nil {
			ranks = append(ranks, *rank)
		}
	}
	return ranks
}
