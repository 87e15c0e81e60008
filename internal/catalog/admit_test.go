package catalog

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestAdmit(t *testing.T) {
	c := qt.New(t)
	cat := sampleCatalog()
	rank := 3
	cat.Routes[0].Rank, cat.Workspaces[0].Rank = 1, &rank
	a, err := cat.Admit("a.example", "/x/z", "secret", 0.5)
	c.Assert(err, qt.IsNil)
	c.Check(a.Route.Name, qt.Equals, "short")
	c.Check(a.Workspace, qt.Equals, "quarry")
	c.Check(a.Rank, qt.Equals, 3, qt.Commentf("the workspace's rank replaces the route's"))
	_, err = cat.Admit("a.example", "/none/", "secret", 0.5)
	c.Check(err, qt.Equals, ErrNoRoute)
	for _, key := range []string{"", "wrong"} {
		_, err = cat.Admit("a.example", "/x/z", key, 0.5)
		c.Check(err, qt.Equals, ErrUnknownKey)
	}
	a, err = cat.Admit("b.example", "/x/z", "", 0.5)
	c.Assert(err, qt.IsNil)
	c.Check(a.Workspace, qt.Equals, "", qt.Commentf("a public route needs no key"))
}

func TestDrawIsUniformAndTheSameForAnID(t *testing.T) {
	c := qt.New(t)
	low := 0
	for i := range 1000 {
		draw := Draw(fmt.Sprint(i))
		c.Assert(draw >= 0 && draw < 1, qt.IsTrue)
		c.Assert(draw, qt.Equals, Draw(fmt.Sprint(i)))
		if draw < 0.25 {
			low++
		}
	}
	c.Check(low > 200 && low < 300, qt.IsTrue, qt.Commentf("%d of 1000 below a quarter", low))
}
