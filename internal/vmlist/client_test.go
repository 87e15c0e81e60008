package vmlist

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// oddVMs are entries that are no VM, by what is odd about them.
var oddVMs = map[string]string{
	"deep":          `{"id":"x","zone":` + strings.Repeat(`[`, 100_000) + strings.Repeat(`]`, 100_000) + `}`,
	"other type":    `{"id":"x","address":5}`,
	"number":        `7`,
	"null":          `null`,
	"no ID":         `{"zone":"z"}`,
	"number as ID":  `{"id":1e999}`,
	"VMs within it": `{"id":{"vms":[{"id":"made-up"}]}}`,
}

// TestOddEntryLeavesTheOtherVMs guards against a VM list that is not followed any more because one of its entries
// cannot be decoded.
func TestOddEntryLeavesTheOtherVMs(t *testing.T) {
	for name, odd := range oddVMs {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			changes, err := decodeChanges(fmt.Appendf(nil, `{"revision":7,"full":true,"vms":[{"id":"a","zone":"z"},%s,{"id":"b"}]}`, odd))
			c.Assert(err, qt.IsNil)
			c.Check(changes, qt.DeepEquals, VMChanges{Revision: 7, Full: true, VMs: []VM{{ID: "a", Zone: "z"}, {ID: "b"}}, Skipped: 1})
		})
	}
}

func TestResponseThatIsNoVMListIsAnError(t *testing.T) {
	c := qt.New(t)
	for _, raw := range []string{``, `[]`, `null`, `{"revision":"x"}`, `{"revision":1e99}`, `{"revision":7,"vms":[`, `{"revision":7,"full":5}`} {
		_, err := decodeChanges([]byte(raw))
		c.Check(err, qt.IsNotNil, qt.Commentf("%s", raw))
	}
	changes, err := decodeChanges([]byte(`{"revision":7}`))
	c.Assert(err, qt.IsNil)
	c.Check(changes.Revision, qt.Equals, int64(7))
}

// FuzzDecodeChanges checks that any entry leaves the VMs around it.
func FuzzDecodeChanges(f *testing.F) {
	for _, odd := range oddVMs {
		f.Add(odd)
	}
	f.Fuzz(func(t *testing.T, odd string) {
		changes, err := decodeChanges(fmt.Appendf(nil, `{"revision":7,"full":true,"vms":[{"id":"a"},%s,{"id":"b"}]}`, odd))
		if err != nil || strings.Contains(odd, `"`) {
			return
		}
		if len(changes.VMs) < 2 || changes.VMs[0].ID != "a" || changes.VMs[len(changes.VMs)-1].ID != "b" {
			t.Fatalf("%+v", changes)
		}
	})
}
