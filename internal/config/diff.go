package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"
)

// ChangeKind is the kind of difference between two versions of an item.
type ChangeKind string

// The kinds of change.
const (
	ChangeAdded   ChangeKind = "added"
	ChangeRemoved ChangeKind = "removed"
	ChangeEdited  ChangeKind = "edited"
)

// Change is the difference of one item between two deployments.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Item is the kind and name of the item, for example "service chat".
	Item   string          `json:"item"`
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// Diff returns the changes from one deployment to another, sorted by item name.
func Diff(before, after *Deployment) []Change {
	old, wanted := before.items(), after.items()
	changes := []Change{}
	for name, value := range wanted {
		previous, existed := old[name]
		switch {
		case !existed:
			changes = append(changes, Change{Kind: ChangeAdded, Item: name, After: value})
		case !bytes.Equal(previous, value):
			changes = append(changes, Change{Kind: ChangeEdited, Item: name, Before: previous, After: value})
		}
	}
	for name, value := range old {
		if _, kept := wanted[name]; !kept {
			changes = append(changes, Change{Kind: ChangeRemoved, Item: name, Before: value})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Item, b.Item) })
	return changes
}

// items returns all items of a deployment as JSON, keyed by kind and name. Routes have
// no name: a route has one entry for each method, keyed by service, path and method.
func (d *Deployment) items() map[string]json.RawMessage {
	items := map[string]json.RawMessage{}
	for _, item := range d.Zones {
		items["zone "+item.Name] = encodeItem(item)
	}
	for _, item := range d.VMClasses {
		items["VM class "+item.Name] = encodeItem(item)
	}
	for _, item := range d.Services {
		items["service "+item.Name] = encodeItem(item)
	}
	for _, item := range d.Workspaces {
		items["workspace "+item.Name] = encodeItem(item)
	}
	for _, item := range d.Routes {
		for _, method := range methodsOrAny(item.Methods) {
			items["route "+item.Service+item.Path+" "+method] = encodeItem(item)
		}
	}
	return items
}

// encodeItem encodes one item as JSON. Encoding the types of this package cannot fail.
func encodeItem(item any) json.RawMessage {
	raw, err := json.Marshal(item)
	if err != nil {
		panic("config: encode item: " + err.Error())
	}
	return raw
}
