package catalog

import (
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
