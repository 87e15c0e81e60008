package catalog

import (
	"crypto/sha256"
	"testing"

	qt "github.com/frankban/quicktest"
)

func sampleCatalog() *Catalog {
	c := &Catalog{
		Routes: []Route{
			{Name: "short", Host: "a.example", Prefix: "/x/"},
			{Name: "long", Host: "a.example", Prefix: "/x/y/"},
			{Name: "other", Host: "b.example", Prefix: "/x/", Public: true},
		},
		Workspaces: []Workspace{{Name: "quarry", KeyDigests: [][sha256.Size]byte{sha256.Sum256([]byte("secret"))}}},
	}
	return c.Build()
}

func TestMatchTakesLongestPrefixOfTheHost(t *testing.T) {
	c := qt.New(t)
	cat := sampleCatalog()
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/x/z", "short"},
		{"a.example", "/x/y/z", "long"},
		{"a.example", "/x/y", "short"},
		{"b.example", "/x/y/z", "other"},
		{"a.example", "/x", ""},
		{"c.example", "/x/z", ""},
	} {
		got := ""
		if r := cat.Match(test.host, test.path); r != nil {
			got = r.Name
		}
		c.Check(got, qt.Equals, test.want, qt.Commentf("%s%s", test.host, test.path))
	}
}

func TestKeys(t *testing.T) {
	c := qt.New(t)
	cat := sampleCatalog()
	c.Check(cat.WorkspaceByKey("secret").Name, qt.Equals, "quarry")
	c.Check(cat.WorkspaceByKey("Secret"), qt.IsNil)
	c.Check(cat.WorkspaceByKey(""), qt.IsNil)
	c.Check(cat.NeedsKey(&cat.Routes[0]), qt.IsTrue)
	c.Check(cat.NeedsKey(&cat.Routes[2]), qt.IsFalse)
}

func TestPickServiceFollowsWeights(t *testing.T) {
	c := qt.New(t)
	r := Route{Splits: []Split{{"a", 90}, {"none", 0}, {"b", 10}}}
	c.Check(r.PickService(0), qt.Equals, "a")
	c.Check(r.PickService(0.899), qt.Equals, "a")
	c.Check(r.PickService(0.901), qt.Equals, "b")
	c.Check(r.PickService(0.9999999), qt.Equals, "b")
	c.Check((&Route{}).PickService(0.5), qt.Equals, "")
}
