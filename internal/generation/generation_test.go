package generation

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/plankridge/plankridge/examples"
	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/network"
	"github.com/plankridge/plankridge/internal/standin/faults"
	"github.com/plankridge/plankridge/internal/standin/memnet"
	"github.com/plankridge/plankridge/internal/store"
	"github.com/plankridge/plankridge/platform"
	"github.com/plankridge/plankridge/platform/fake"
)

// withStore runs a test in synctest time against an in-memory implementation of the
// Object API.
func withStore(t *testing.T, test func(c *qt.C, objects *fake.Store, client store.Values)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		host := memnet.New().Host("10.0.0.1")
		listener, err := host.Listen("10.0.0.1:80")
		c.Assert(err, qt.IsNil)
		objects := fake.NewStore()
		server := &http.Server{Handler: objects}
		go func() { _ = server.Serve(listener) }()
		transport := network.Transport(host, true)
		client := Values(platform.NewStore("http://10.0.0.1:80", &http.Client{Transport: transport}))
		test(c, objects, client)
		_ = server.Close()
	})
}

func sampleDeployment(c *qt.C) *config.Deployment {
	files, err := examples.Files("ndiaye")
	c.Assert(err, qt.IsNil)
	d, err := config.Load(files)
	c.Assert(err, qt.IsNil)
	return d
}

func TestTwoOperatorsAtOnce(t *testing.T) {
	withStore(t, func(c *qt.C, _ *fake.Store, client store.Values) {
		d := sampleDeployment(c)
		ctx := context.Background()
		results := make(chan error, 2)
		for _, id := range []string{"one", "two"} {
			go func() {
				_, err := NewPublisher(client).Apply(ctx, d, 0, id)
				results <- err
			}()
		}
		first, second := <-results, <-results
		if first != nil {
			first, second = second, first
		}
		c.Assert(first, qt.IsNil)
		c.Assert(errors.Is(second, ErrConflict), qt.IsTrue, qt.Commentf("%v", second))
	})
}

// TestLostAnswerOfApplyIsSettled drops the response to each write in turn and checks that
// Apply still returns the right result.
func TestLostAnswerOfApplyIsSettled(t *testing.T) {
	for lost := range 8 {
		withStore(t, func(c *qt.C, objects *fake.Store, client store.Values) {
			objects.LoseAnswerAfter(lost)
			manifest, err := NewPublisher(client).Apply(context.Background(), sampleDeployment(c), 0, "one")
			c.Assert(err, qt.IsNil)
			c.Check(manifest.Generation, qt.Equals, int64(1))
			again, err := NewPublisher(client).Apply(context.Background(), sampleDeployment(c), 0, "one")
			c.Assert(err, qt.IsNil)
			c.Check(again.Generation, qt.Equals, int64(1))
			_, err = NewPublisher(client).Apply(context.Background(), sampleDeployment(c), 0, "two")
			c.Check(err, qt.ErrorMatches, ".*based on generation 0, current generation is 1")
		})
	}
}

func TestFollowerNeverFalls(t *testing.T) {
	withStore(t, func(c *qt.C, objects *fake.Store, client store.Values) {
		ctx, cancel := context.WithCancel(context.Background())
		publisher := NewPublisher(client)
		f := NewFollower(client, slog.New(slog.DiscardHandler), prometheus.NewRegistry())
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Run(ctx)
		}()
		d := sampleDeployment(c)
		for generation := range int64(3) {
			changed := f.Changed()
			d.Workspaces[0].Weight++
			_, err := publisher.Apply(ctx, d, generation, string(rune('a'+generation)))
			c.Assert(err, qt.IsNil)
			<-changed
			c.Assert(f.Generation(), qt.Equals, generation+1)
		}
		bundle, err := f.Bundle(nil)
		c.Assert(err, qt.IsNil)
		objects.Faults.Set(faults.State{Outage: true})
		offline := NewFollower(client, slog.New(slog.DiscardHandler), prometheus.NewRegistry())
		fetch := func(context.Context, []string) (Bundle, error) { return bundle, nil }
		c.Assert(offline.ApplyFromPeer(ctx, 3, fetch), qt.IsNil)
		c.Check(offline.Generation(), qt.Equals, int64(3))
		c.Check(offline.Index().Deployment.Workspaces[0].Weight, qt.Equals, d.Workspaces[0].Weight)

		bundle.Manifest = []byte(`{"generation":2,"apply_id":"old","parts":[]}`)
		c.Assert(offline.ApplyFromPeer(ctx, 4, fetch), qt.IsNil)
		c.Check(offline.Generation(), qt.Equals, int64(3))
		bundle.Manifest = []byte(`{"generation":9,"apply_id":"x","parts":[{"name":"zones","digest":"00"}]}`)
		c.Check(errors.Is(offline.ApplyFromPeer(ctx, 9, fetch), ErrMissingPart), qt.IsTrue)
		c.Check(offline.Generation(), qt.Equals, int64(3))
		cancel()
		<-done
	})
}
