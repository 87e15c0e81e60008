package config

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"
)

// DigestKey returns the digest by which deployment files refer to a bearer key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(hex.EncodeToString(sum[:]))
}

// Index holds the lookup tables of a deployment for the request path. It is
// immutable and safe for concurrent use. Each generation of the deployment has its
// own Index.
type Index struct {
	Deployment *Deployment
	byKey      map[KeyDigest]*Workspace
	services   map[string]*Service
	routes     map[string][]*Route
	prices     map[priceKey]float64
}

type priceKey struct {
	class  string
	zone   string
	market Market
}

// NewIndex builds the index of a validated deployment.
func NewIndex(d *Deployment) *Index {
	index := &Index{
		Deployment: d,
		byKey:      map[KeyDigest]*Workspace{},
		services:   map[string]*Service{},
		routes:     map[string][]*Route{},
		prices:     map[priceKey]float64{},
	}
	for i := range d.Workspaces {
		for _, digest := range d.Workspaces[i].KeySHA256 {
			index.byKey[digest] = &d.Workspaces[i]
		}
	}
	for i := range d.Services {
		index.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Routes {
		name := d.Routes[i].Service
		index.routes[name] = append(index.routes[name], &d.Routes[i])
	}
	for _, class := range d.VMClasses {
		for _, price := range class.Prices {
			index.prices[priceKey{class.Name, price.Zone, price.Market}] = price.PerHour
		}
	}
	return index
}

// WorkspaceByKey returns the workspace that owns a bearer key, or nil.
func (x *Index) WorkspaceByKey(key string) *Workspace {
	return x.byKey[DigestKey(key)]
}

// Service returns a service by name, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// Price returns the price of a VM per hour, or zero if it is not known.
func (x *Index) Price(class, zone string, market Market) float64 {
	return x.prices[priceKey{class, zone, market}]
}

// MayCall reports whether the workspace may call the service.
func (w *Workspace) MayCall(service string) bool {
	return slices.Contains(w.Services, service)
}

// Route returns the matching route with the longest path prefix. If none matches, it
// returns a route with ClassAwaited and default settings, which is idempotent if the
// service is a model or if RFC 9110 defines the method as idempotent.
func (x *Index) Route(service *Service, method, path string) Route {
	var best *Route
	for _, route := range x.routes[service.Name] {
		if !route.matches(method, path) {
			continue
		}
		if best == nil || len(route.Path) > len(best.Path) {
			best = route
		}
	}
	if best != nil {
		return *best
	}
	fallback := Route{Service: service.Name, Class: ClassAwaited, Idempotent: service.Kind == KindModel || idempotentMethod(method)}
	fallback.applyDefaults()
	return fallback
}

// matches reports whether the route applies to a method and path. Its path matches
// whole segments only: /a matches /a and /a/b, but not /ab.
func (r *Route) matches(method, path string) bool {
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
		return false
	}
	rest, ok := strings.CutPrefix(path, r.Path)
	if !ok {
		return false
	}
	return rest == "" || strings.HasSuffix(r.Path, "/") || r.Path == "" || rest[0] == '/'
}

func idempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// FleetPricePerHour returns the total price per hour of all runners of the deployment.
func (x *Index) FleetPricePerHour() float64 {
	total := 0.0
	for _, service := range x.Deployment.Services {
		for _, pool := range service.Runners {
			total += float64(pool.Count) * x.Price(pool.Class, pool.Zone, pool.Market)
		}
	}
	return total
}
