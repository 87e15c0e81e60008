// Package capacity measures the slopes that docs/CAPACITY.md is worked out
// from: many daemons' control parts in one process, and the cost of one
// server, one held request and one token.
package capacity

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/examples"
	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/dev"
	"github.com/plankridge/plankridge/internal/standin/memnet"
	"github.com/plankridge/plankridge/internal/vmlist"
)

// sizes are numbers of daemons with the servers in their view.
var sizes = []struct{ daemons, servers int }{{8, 63}, {40, 315}, {120, 945}, {330, 2600}}

const (
	// settle is the time for connections to open and key slots to find their
	// holders before anything is counted.
	settle = 90 * time.Second
	// window is the virtual time over which traffic and calls are counted.
	window = 60 * time.Second
	// changes is the number of applies, and of VM changes, in the second
	// window.
	changes = 20
)

// TestControlSlopes prints what control costs a daemon at each size. It is run
// by hand: CAPACITY=1 go test -count=1 -run TestControlSlopes -v ./capacity.
func TestControlSlopes(t *testing.T) {
	if os.Getenv("CAPACITY") == "" {
		t.Skip("set CAPACITY=1 to measure")
	}
	t.Log("daemons servers | idle: sent B/s, received B/s, cpu% reads/s | heap KB | per apply: bytes both ways, reads writes, worst s in force | per VM change: bytes both ways")
	for _, size := range sizes {
		synctest.Test(t, func(t *testing.T) { measure(t, size.daemons, size.servers) })
	}
}

// measurement is the state of the counters at one moment.
type measurement struct {
	sent, received int64
	cpu            time.Duration
	reads          int64
	writes         int64
}

// fleet is a deployment of idle daemons.
type fleet struct {
	*qt.C
	d      *dev.Deployment
	net    *memnet.Net
	wanted *config.Deployment
}

func startFleet(t *testing.T, daemons, servers int) *fleet {
	c := qt.New(t)
	files, err := examples.Files("ndiaye")
	c.Assert(err, qt.IsNil)
	wanted, err := config.Load(files)
	c.Assert(err, qt.IsNil)
	plane := &dev.Memory{Net: memnet.New()}
	d, err := dev.Start(context.Background(), dev.Options{
		Example: "ndiaye", Logger: slog.New(slog.DiscardHandler), ListLag: time.Second, Hosts: plane,
	})
	c.Assert(err, qt.IsNil)
	for i := range servers {
		d.StandIns.Fleet.Add(vmlist.VM{
			ID: fmt.Sprintf("runner-%04d", i), Zone: fmt.Sprintf("zone-%d", i%7), Role: vmlist.RoleBackend,
			Service: "modele-devis", Class: "accel-4", Market: "reclaimable", Address: fmt.Sprintf("10.9.%d.%d:8000", i/250, i%250),
		}, nil)
	}
	for i := len(d.Nodes); i < daemons; i++ {
		_, err := d.StartNode(fmt.Sprintf("entry-%03d", i), fmt.Sprintf("zone-%d", i%7), plane.NewHost())
		c.Assert(err, qt.IsNil)
	}
	c.Assert(d.WaitReady(context.Background()), qt.IsNil)
	return &fleet{C: c, d: d, net: plane.Net, wanted: wanted}
}

func (f *fleet) now() measurement {
	var m measurement
	for _, node := range f.d.Nodes {
		traffic := f.net.Traffic(node.Host.IP)
		m.sent += traffic.Sent.Load()
		m.received += traffic.Received.Load()
	}
	var usage syscall.Rusage
	f.Assert(syscall.Getrusage(syscall.RUSAGE_SELF, &usage), qt.IsNil)
	m.cpu = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	m.reads = f.d.StandIns.Store.Calls().Reads.Load()
	m.writes = f.d.StandIns.Store.Calls().Writes.Load()
	return m
}

// over counts what happens while f runs.
func (f *fleet) over(run func()) measurement {
	before := f.now()
	run()
	after := f.now()
	return measurement{after.sent - before.sent, after.received - before.received, after.cpu - before.cpu, after.reads - before.reads, after.writes - before.writes}
}

func measure(t *testing.T, daemons, servers int) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f := startFleet(t, daemons, servers)
	defer f.d.Stop()
	time.Sleep(settle)
	runtime.GC()
	runtime.ReadMemStats(&after)

	idle := f.over(func() { time.Sleep(window) })
	worst := time.Duration(0)
	applying := f.over(func() { worst = f.applyMany() })
	moving := f.over(f.moveMany)
	n, seconds := float64(daemons), window.Seconds()
	extra := func(m measurement) float64 { return float64(m.sent+m.received-idle.sent-idle.received) / n / changes }
	t.Logf("%d %d | %.0f %.0f %.3f %.2f | %.0f | %.0f %.1f %.1f, %.2f | %.0f",
		daemons, servers,
		float64(idle.sent)/n/seconds, float64(idle.received)/n/seconds, 100*idle.cpu.Seconds()/n/seconds, float64(idle.reads)/seconds,
		float64(after.HeapAlloc-before.HeapAlloc)/1024/n,
		extra(applying), float64(applying.reads-idle.reads)/changes, float64(applying.writes)/changes, worst.Seconds(),
		extra(moving))
}

// applyMany applies changes over a window and returns the longest time until
// one is in force on every daemon.
func (f *fleet) applyMany() time.Duration {
	publisher := f.d.Publisher()
	worst := time.Duration(0)
	for i := range changes {
		begun := time.Now()
		f.wanted.Workspaces[0].Weight = 100 + i
		manifest, err := publisher.Apply(context.Background(), f.wanted, int64(1+i), fmt.Sprint("capacity-", i))
		f.Assert(err, qt.IsNil)
		for _, node := range f.d.Nodes {
			for node.Daemon.Generation() < manifest.Generation {
				time.Sleep(time.Millisecond)
			}
		}
		worst = max(worst, time.Since(begun))
		time.Sleep(window/changes - time.Since(begun))
	}
	return worst
}

// moveMany reclaims servers over a window.
func (f *fleet) moveMany() {
	for i := range changes {
		f.d.StandIns.Fleet.Kill(fmt.Sprintf("runner-%04d", i))
		time.Sleep(window / changes)
	}
}
