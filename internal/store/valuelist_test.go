package store

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
)

// pageStore lists a fixed page.
type pageStore struct {
	Store
	page Page
}

func (s pageStore) List(context.Context, string) (Page, error) { return s.page, nil }

// TestUndecodableValueLeavesTheOthers guards against a list of values that fails because of one of them.
func TestUndecodableValueLeavesTheOthers(t *testing.T) {
	c := qt.New(t)
	values, err := NewValues(pageStore{page: Page{Objects: []Object{
		{Name: "a/1", Spec: []byte(`"eA=="`)}, {Name: "a/2", Spec: []byte(`{"x":1}`)}, {Name: "a/3"}, {Name: "b/1", Spec: []byte(`7`)}, {Name: "a/4", Spec: []byte(`"eQ=="`)},
	}}}, "kind").List(t.Context(), "a/")
	c.Assert(err, qt.IsNil)
	c.Assert(values, qt.HasLen, 4)
	c.Check(string(values[0].Data), qt.Equals, "x")
	c.Check(values[1].Err, qt.IsNotNil)
	c.Check(values[2].Err, qt.IsNotNil)
	c.Check(values[3].Err, qt.IsNil)
	c.Check(string(values[3].Data), qt.Equals, "y")
}
