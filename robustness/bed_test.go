// Package robustness holds the failure tests: whole deployments over the
// stand-ins, on an in-memory network and in synctest time.
package robustness

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/examples"
	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/dev"
	"github.com/plankridge/plankridge/internal/replay"
	"github.com/plankridge/plankridge/internal/standin/memnet"
)

// bed is a deployment under test.
type bed struct {
	*qt.C
	d      *dev.Deployment
	plane  *dev.Memory
	client *http.Client
	next   atomic.Uint64
}

// run runs a test on a deployment in synctest time.
func run(t *testing.T, example string, test func(b *bed)) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		b := start(t, example, nil)
		test(b)
	})
}

func start(t *testing.T, example string, adjust func(*config.Settings)) *bed {
	return startWith(t, dev.Options{
		Example:     example,
		Logger:      slog.New(slog.NewTextHandler(logOutput(), nil)),
		ListLag:     time.Second,
		Adjust:      adjust,
		OnViolation: func(err error) { t.Errorf("invariant violated: %v", err) },
	})
}

func startWith(t *testing.T, options dev.Options) *bed {
	c := qt.New(t)
	plane := &dev.Memory{Net: memnet.New()}
	options.Hosts = plane
	d, err := dev.Start(context.Background(), options)
	c.Assert(err, qt.IsNil)
	c.Assert(d.WaitReady(context.Background()), qt.IsNil)
	b := &bed{C: c, d: d, plane: plane}
	b.client = &http.Client{Transport: b.transport()}
	t.Cleanup(func() {
		b.client.CloseIdleConnections()
		d.Stop()
		// HTTP servers linger over connections that they close, and stand-ins
		// over calls that were delayed.
		time.Sleep(20 * time.Second)
	})
	return b
}

// logOutput is where daemons log: nowhere, unless ROBUSTNESS_LOG is set.
func logOutput() io.Writer {
	if os.Getenv("ROBUSTNESS_LOG") != "" {
		return os.Stderr
	}
	return io.Discard
}

// transport takes the balancer's place: each connection goes to the next
// daemon that is ready.
func (b *bed) transport() *http.Transport {
	host := b.plane.NewHost()
	return &http.Transport{
		IdleConnTimeout: time.Second,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			if address != "balancer:80" {
				return host.Network.Dial(ctx, address)
			}
			for range b.d.Nodes {
				node := b.d.Nodes[b.next.Add(1)%uint64(len(b.d.Nodes))]
				if !node.Daemon.Ready() {
					continue
				}
				conn, err := host.Network.Dial(ctx, node.Daemon.CallerAddress())
				if err == nil {
					return conn, nil
				}
			}
			return nil, syscall.ECONNREFUSED
		},
	}
}

const balancerURL = "http://balancer"

// call sends a request and returns the answer with its whole body.
func (b *bed) call(method, url, workspace, body string, header ...string) (*http.Response, string) {
	req := b.request(method, url, workspace, body)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := b.client.Do(req)
	b.Assert(err, qt.IsNil)
	raw, err := io.ReadAll(resp.Body)
	b.Assert(err, qt.IsNil)
	_ = resp.Body.Close()
	return resp, string(raw)
}

// request returns a request of a workspace.
func (b *bed) request(method, url, workspace, body string) *http.Request {
	req, err := http.NewRequestWithContext(context.Background(), method, url, bytes.NewBufferString(body))
	b.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+examples.SampleKey(workspace))
	return req
}

// replayDay replays a recorded day; meanwhile faults may happen.
func (b *bed) replayDay(name string, meanwhile func()) *replay.Summary {
	file, err := os.Open("../testdata/traces/" + name + ".jsonl")
	b.Assert(err, qt.IsNil)
	defer func() { _ = file.Close() }()
	trace, err := replay.Read(name, file)
	b.Assert(err, qt.IsNil)
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		meanwhile()
	}()
	summary, err := replay.Run(context.Background(), trace, replay.Options{URL: balancerURL, Speed: 1, Transport: b.transport()})
	b.Assert(err, qt.IsNil)
	<-faults
	return summary
}

// holds asserts that every stated outcome of a replay holds.
func (b *bed) holds(summary *replay.Summary) {
	raw, err := json.Marshal(summary)
	b.Assert(err, qt.IsNil)
	b.Assert(summary.Holds(), qt.IsTrue, qt.Commentf("%s", raw))
}
