package router

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/gossip/gossippb"
)

// TestLargeConfigurationTravelsSmall: a link of 10 Mbit/s carries it to a whole zone
// within the bound.
func TestLargeConfigurationTravelsSmall(t *testing.T) {
	c := qt.New(t)
	var routes []string
	for i := range 1900 {
		routes = append(routes, fmt.Sprintf(`{"name":"r-%d","host":"h%d.example","pathPrefix":"/p%d/","kind":"idempotent","timeoutMs":800,"service":"s"}`, i, i, i))
	}
	raw := `{"version":3,"routes":[` + strings.Join(routes, ",") + `]}`
	from, to := testRouter(t), testRouter(t)
	from.state.takeConfig([]byte(raw), "test")
	reply := from.state.Pull(&gossippb.PullRequest{})
	c.Check(len(reply.GetConfig()) < len(raw)/5, qt.IsTrue, qt.Commentf("%d of %d bytes", len(reply.GetConfig()), len(raw)))
	to.state.Pulled(reply)
	c.Assert(to.state.Catalog(), qt.IsNotNil)
	c.Check(to.state.Catalog().Routes, qt.HasLen, 1900)
	c.Check(string(to.state.Catalog().Raw), qt.Equals, raw)
}

func TestBrokenConfigurationOfAPeerIsLeftAlone(t *testing.T) {
	c := qt.New(t)
	r := testRouter(t)
	r.state.Pulled(&gossippb.PullReply{ConfigVersion: 9, Config: []byte("not packed")})
	c.Check(r.state.Catalog(), qt.IsNil)
}
