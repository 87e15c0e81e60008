package config

import (
	"fmt"
	"strings"

	"github.com/plankridge/plankridge/internal/finding"
)

// checker validates the items of a deployment and the references between them.
type checker struct {
	findings *finding.List
	zones    map[string]bool
	classes  map[string]*VMClass
	services map[string]*Service
}

func (m *mergedDeployment) check(findings *finding.List) {
	c := &checker{findings: findings, zones: map[string]bool{}, classes: map[string]*VMClass{}, services: map[string]*Service{}}
	for _, zone := range withPlaces(m.deployment.Zones, m.zonePlaces) {
		c.checkName(c.zones[zone.item.Name], "availability zone", zone.item.Name, zone.place)
		c.zones[zone.item.Name] = true
	}
	for _, class := range withPlaces(m.deployment.VMClasses, m.vmClassPlaces) {
		c.checkName(c.classes[class.item.Name] != nil, "VM class", class.item.Name, class.place)
		c.classes[class.item.Name] = class.item
		c.checkVMClass(class)
	}
	for _, service := range withPlaces(m.deployment.Services, m.servicePlaces) {
		c.checkName(c.services[service.item.Name] != nil, "service", service.item.Name, service.place)
		c.services[service.item.Name] = service.item
		c.checkService(service)
	}
	c.checkWorkspaces(withPlaces(m.deployment.Workspaces, m.workspacePlaces))
	c.checkRoutes(withPlaces(m.deployment.Routes, m.routePlaces))
}

// checkName reports a name that is defined twice or contains characters that are not
// allowed. The decoder reports missing names.
func (c *checker) checkName(known bool, what, name string, at placeFunc) {
	if known {
		c.findings.Addf(at("name"), "%s %q is defined twice", what, name)
	}
	if name != "" && !validName(name) {
		c.findings.Addf(at("name"), "%s name %q: use lower-case letters, digits and hyphens", what, name)
	}
}

func validName(name string) bool {
	return strings.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
}

// checkZone reports a reference to an undefined availability zone.
func (c *checker) checkZone(name string, at finding.Place) {
	if name != "" && !c.zones[name] {
		c.findings.Addf(at, "availability zone %q is not defined under zones", name)
	}
}

func (c *checker) checkVMClass(class located[VMClass]) {
	for i, price := range class.item.Prices {
		path := fmt.Sprintf("prices[%d]", i)
		c.checkZone(price.Zone, class.place(path+".zone"))
		if price.PerHour < 0 {
			c.findings.Addf(class.place(path+".per_hour"), "price must not be negative")
		}
	}
}

func (c *checker) checkService(service located[Service]) {
	item := service.item
	if item.Kind == KindModel && item.Model == nil {
		c.findings.Addf(service.place("kind"), "service %q is of kind model but has no model", item.Name)
	}
	if item.Kind == KindPlain && item.Model != nil {
		c.findings.Addf(service.place("model"), "service %q is of kind plain but has a model", item.Name)
	}
	if item.Model != nil {
		c.checkModel(item.Model, service.place)
	}
	for i, pool := range item.Runners {
		path := fmt.Sprintf("runners[%d]", i)
		c.checkZone(pool.Zone, service.place(path+".zone"))
		c.checkRunnerClass(pool, service.place(path+".class"))
		if pool.Count < 0 {
			c.findings.Addf(service.place(path+".count"), "count must not be negative")
		}
	}
}

func (c *checker) checkModel(model *Model, at placeFunc) {
	if model.PrefillRate < 0 {
		c.findings.Addf(at("model.prefill_rate"), "prefill_rate must not be negative")
	}
	if model.MaxBatch < 0 {
		c.findings.Addf(at("model.max_batch"), "max_batch must not be negative")
	}
	if model.MaxTokens < 0 {
		c.findings.Addf(at("model.max_tokens"), "max_tokens must not be negative")
	}
}

func (c *checker) checkRunnerClass(pool RunnerPool, at finding.Place) {
	class, known := c.classes[pool.Class]
	if !known {
		if pool.Class != "" {
			c.findings.Addf(at, "VM class %q is not defined under vm_classes", pool.Class)
		}
		return
	}
	for _, price := range class.Prices {
		if price.Zone == pool.Zone && price.Market == pool.Market {
			return
		}
	}
	c.findings.Addf(at, "VM class %q has no %s price in availability zone %q", pool.Class, pool.Market, pool.Zone)
}

func (c *checker) checkWorkspaces(workspaces []located[Workspace]) {
	names := map[string]bool{}
	owners := map[KeyDigest]string{}
	for _, workspace := range workspaces {
		item := workspace.item
		c.checkName(names[item.Name], "workspace", item.Name, workspace.place)
		names[item.Name] = true
		for i, digest := range item.KeySHA256 {
			at := workspace.place(fmt.Sprintf("key_sha256[%d]", i))
			if owner, taken := owners[digest]; taken && digest != "" {
				c.findings.Addf(at, "key already belongs to workspace %q", owner)
			}
			owners[digest] = item.Name
		}
		for i, name := range item.Services {
			c.checkServiceName(name, workspace.place(fmt.Sprintf("services[%d]", i)))
		}
		c.checkZone(item.HomeZone, workspace.place("home_zone"))
		if item.Weight < 0 {
			c.findings.Addf(workspace.place("weight"), "weight must not be negative")
		}
		if item.Limits.RequestsPerSecond < 0 || item.Limits.InFlight < 0 {
			c.findings.Addf(workspace.place("limits"), "limits must not be negative")
		}
	}
}

func (c *checker) checkServiceName(name string, at finding.Place) {
	if name != "" && c.services[name] == nil {
		c.findings.Addf(at, "service %q is not defined under services", name)
	}
}

func (c *checker) checkRoutes(routes []located[Route]) {
	seen := map[string]bool{}
	for _, route := range routes {
		c.checkRoute(route, seen)
	}
}

func (c *checker) checkRoute(route located[Route], seen map[string]bool) {
	item := route.item
	c.checkServiceName(item.Service, route.place("service"))
	for _, method := range methodsOrAny(item.Methods) {
		key := item.Service + " " + item.Path + " " + method
		if seen[key] {
			c.findings.Addf(route.place("path"), "route %s%s is defined twice for method %s", item.Service, item.Path, method)
		}
		seen[key] = true
	}
	service := c.services[item.Service]
	if service != nil && service.Kind == KindModel {
		c.checkModelRoute(route)
	}
	if service != nil && service.Kind == KindPlain && !strings.HasPrefix(item.Path, "/") {
		c.findings.Addf(route.place("path"), "path of a plain service must begin with /")
	}
	if objective := item.Targets.Objective; objective <= 0 || objective >= 1 {
		c.findings.Addf(route.place("targets.objective"), "objective must lie between 0 and 1")
	}
}

// checkModelRoute rejects settings that do not apply to a model. A model has no paths,
// and its requests are always idempotent, because an answer can be generated again.
func (c *checker) checkModelRoute(route located[Route]) {
	if route.item.Path != "" {
		c.findings.Addf(route.place("path"), "a model has no paths")
	}
	if !route.item.Idempotent {
		c.findings.Addf(route.place("idempotent"), "a model route cannot be non-idempotent")
	}
}

// methodsOrAny returns the methods of a route, or "*" if the route applies to all.
func methodsOrAny(methods []string) []string {
	if len(methods) == 0 {
		return []string{"*"}
	}
	return methods
}
