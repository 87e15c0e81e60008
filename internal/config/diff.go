package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"
)

// ChangeKind says how an item differs.
type ChangeKind string

// The kinds of change.
const (
	ChangeAdded   ChangeKind = "added"
	ChangeRemoved ChangeKind = "removed"
	ChangeEdited  ChangeKind = "edited"
)

// Change is the difference of one item between two deployments.
type Change struct {
	Kind   ChangeKind      `json:"kind"`
	Item   string          `json:"item"`
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// Diff returns what changes from one deployment to another, by item name.
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

// items returns every item of a deployment as JSON, by kind and name.
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

// encodeItem encodes one item. The types of this package always encode.
func encodeItem(item any) json.RawMessage {
	raw, err := json.Marshal(item)
	if err != nil {
		panic("config: item does not encode: " + err.Error())
	}
	return raw
}
