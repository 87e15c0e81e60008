package router

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/catalog"
)

// firstConfig is a configuration with nothing in it.
const firstConfig = `{"version":1}`

// TestCallerWaitsForTheFirstConfiguration: at a daemon that has just started a caller
// waits for the configuration and the servers, and no longer than a moment.
func TestCallerWaitsForTheFirstConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := testRouter(t).state
		begun := time.Now()
		got := make(chan *catalog.Catalog)
		go func() { got <- s.awaitCatalog(context.Background()) }()
		time.Sleep(20 * time.Millisecond)
		s.takeConfig([]byte(firstConfig), "test")
		time.Sleep(20 * time.Millisecond)
		s.takeServers(nil, 1, time.Now())
		c.Check((<-got).Version, qt.Equals, int64(1))
		c.Check(time.Since(begun), qt.Equals, 40*time.Millisecond)
		c.Check(s.awaitCatalog(context.Background()).Version, qt.Equals, int64(1))
	})
}

func TestCallerDoesNotWaitForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := testRouter(t).state
		begun := time.Now()
		c.Check(s.awaitCatalog(context.Background()), qt.IsNil)
		c.Check(time.Since(begun), qt.Equals, startWait)
		s.takeConfig([]byte(firstConfig), "test")
		c.Check(s.awaitCatalog(context.Background()), qt.IsNotNil, qt.Commentf("the servers are not known yet"))
		c.Check(time.Since(begun), qt.Equals, 2*startWait)
	})
}
