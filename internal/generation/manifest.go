// Package generation distributes the applied deployment to the daemons. A manifest object
// holds the generation number and the digest of each part. Replacing the manifest with a
// conditional update makes the new generation effective. Daemons follow the manifest and
// only ever move to a higher generation.
package generation

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/store"
)

// objectKind is the kind of the store objects that hold generations.
const objectKind = "plankridge-generations"

// Values returns the part of the store that holds generations.
func Values(objects store.Store) store.Values { return store.NewValues(objects, objectKind) }

// Keys in the store.
const (
	manifestKey = "manifest"
	partPrefix  = "parts-"
)

// Manifest lists the parts of one generation.
type Manifest struct {
	Generation int64 `json:"generation"`
	// ApplyID identifies the apply, so that one whose response was lost can find out
	// whether it took effect.
	ApplyID   string    `json:"apply_id"`
	AppliedAt time.Time `json:"applied_at"`
	Parts     []PartRef `json:"parts"`
}

// PartRef is the name of one part of a deployment and the digest of its content.
type PartRef struct {
	Name   string `json:"name"`
	Digest string `json:"digest"`
}

// Names of the parts of a deployment. Each service is a separate part, together with its
// routes.
const (
	partZones      = "zones"
	partVMClasses  = "vm-classes"
	partWorkspaces = "workspaces"
	partService    = "service/"
)

// servicePart is the content of a service's part.
type servicePart struct {
	Service config.Service `json:"service"`
	Routes  []config.Route `json:"routes"`
}

// splitParts splits a deployment into parts and returns their contents by digest.
func splitParts(d *config.Deployment) ([]PartRef, map[string][]byte, error) {
	var refs []PartRef
	contents := map[string][]byte{}
	add := func(name string, value any) error {
		raw, err := json.Marshal(value)
		if err != nil {
			return eris.Wrapf(err, "encode part %s", name)
		}
		digest := digestOf(raw)
		refs = append(refs, PartRef{Name: name, Digest: digest})
		contents[digest] = raw
		return nil
	}
	sections := map[string]any{partZones: d.Zones, partVMClasses: d.VMClasses, partWorkspaces: d.Workspaces}
	for name, section := range sections {
		if err := add(name, section); err != nil {
			return nil, nil, err
		}
	}
	for _, service := range d.Services {
		part := servicePart{Service: service}
		for _, route := range d.Routes {
			if route.Service == service.Name {
				part.Routes = append(part.Routes, route)
			}
		}
		if err := add(partService+service.Name, part); err != nil {
			return nil, nil, err
		}
	}
	slices.SortFunc(refs, func(a, b PartRef) int { return cmp.Compare(a.Name, b.Name) })
	return refs, contents, nil
}

func digestOf(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// assemble builds a deployment from its parts.
func assemble(manifest *Manifest, contents map[string][]byte) (*config.Deployment, error) {
	d := &config.Deployment{}
	for _, ref := range manifest.Parts {
		raw, ok := contents[ref.Digest]
		if !ok {
			return nil, fmt.Errorf("%w: %s", ErrMissingPart, ref.Name)
		}
		if err := decodePart(d, ref.Name, raw); err != nil {
			return nil, eris.Wrapf(err, "decode part %s", ref.Name)
		}
	}
	return d, nil
}

func decodePart(d *config.Deployment, name string, raw []byte) error {
	switch {
	case name == partZones:
		return json.Unmarshal(raw, &d.Zones)
	case name == partVMClasses:
		return json.Unmarshal(raw, &d.VMClasses)
	case name == partWorkspaces:
		return json.Unmarshal(raw, &d.Workspaces)
	case strings.HasPrefix(name, partService):
		var part servicePart
		if err := json.Unmarshal(raw, &part); err != nil {
			return err
		}
		d.Services = append(d.Services, part.Service)
		d.Routes = append(d.Routes, part.Routes...)
		return nil
	}
	return fmt.Errorf("%w: %s", ErrUnknownPart, name)
}
