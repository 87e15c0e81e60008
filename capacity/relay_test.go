package capacity

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/network"
	"github.com/plankridge/plankridge/internal/router"
	"github.com/plankridge/plankridge/internal/standin/memnet"
	"github.com/plankridge/plankridge/platform/fake"
)

// relaySizes are numbers of daemons with the servers in their view, in zones as many
// as in the plan for two years.
var relaySizes = []struct{ daemons, zones, servers int }{{8, 3, 12}, {30, 3, 30}, {86, 4, 94}, {330, 7, 2600}}

const (
	relaySettle = 20 * time.Second
	relayWindow = 30 * time.Second
)

// counted is a network that counts the datagrams sent through it.
type counted struct {
	network.Network
	datagrams, bytes *atomic.Int64
}

// ListenPacket implements network.Network.
func (c counted) ListenPacket(address string) (net.PacketConn, error) {
	conn, err := c.Network.ListenPacket(address)
	return countedPackets{conn, c}, err
}

type countedPackets struct {
	net.PacketConn
	counted counted
}

// WriteTo implements net.PacketConn.
func (p countedPackets) WriteTo(raw []byte, to net.Addr) (int, error) {
	p.counted.datagrams.Add(1)
	p.counted.bytes.Add(int64(len(raw)))
	return p.PacketConn.WriteTo(raw, to)
}

// TestRelaySlopes prints what the gossip on the users' platform costs idle daemons at
// each size. It is run by hand: CAPACITY=1 go test -count=1 -run TestRelaySlopes -v ./capacity.
func TestRelaySlopes(t *testing.T) {
	if os.Getenv("CAPACITY") == "" {
		t.Skip("set CAPACITY=1 to measure")
	}
	t.Log("daemons zones servers | datagrams/s and bytes/s sent a daemon, most bytes/s of one | store reads/s, all | cpu % of a core a daemon | heap KB a daemon")
	for _, size := range relaySizes {
		synctest.Test(t, func(t *testing.T) { measureRelays(t, size.daemons, size.zones, size.servers) })
	}
}

func measureRelays(t *testing.T, daemons, zones, servers int) {
	fabric := memnet.New()
	store := fake.NewStore()
	for i := range servers {
		store.Put("servers", fmt.Sprintf("i-%05d", i), map[string]any{
			"service": "llm", "address": fmt.Sprintf("10.2.%d.%d:80", i/250, i%250+1), "zone": fmt.Sprintf("zone-%d", i%zones), "slots": 32, "state": "ready", "version": "v1", "coldLeftMs": 0, "seq": 1,
		})
	}
	store.Put("config", "main", map[string]any{"version": 1, "services": []any{map[string]any{"name": "llm", "engine": map[string]any{"slots": 32, "kvCapacityTokens": 250000}}}})
	listener, err := fabric.Host("10.9.0.1").Listen("10.9.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: store}
	go func() { _ = server.Serve(listener) }()
	ctx, stop := context.WithCancel(context.Background())
	counters := make([]counted, daemons)
	ended := make(chan error, daemons)
	before := heap()
	for i := range daemons {
		counters[i] = counted{fabric.Host(relayIP(i)), &atomic.Int64{}, &atomic.Int64{}}
		r, err := router.New(router.Options{Settings: relaySettings(i, zones), Network: counters[i], Logger: slog.New(slog.DiscardHandler)})
		if err != nil {
			t.Fatal(err)
		}
		go func() { ended <- r.Run(context.Background(), ctx) }()
	}
	time.Sleep(relaySettle)
	kept := heap() - before
	reads, cpu := store.Calls().Reads.Load(), cpuTime()
	for _, c := range counters {
		c.datagrams.Store(0)
		c.bytes.Store(0)
	}
	time.Sleep(relayWindow)
	spent := cpuTime() - cpu
	var datagrams, bytes, most int64
	for _, c := range counters {
		datagrams += c.datagrams.Load()
		bytes += c.bytes.Load()
		most = max(most, c.bytes.Load())
	}
	per := float64(daemons) * relayWindow.Seconds()
	t.Logf("%d %d %d | %.1f %.0f, %.0f | %.1f | %.2f | %d", daemons, zones, servers, float64(datagrams)/per, float64(bytes)/per,
		float64(most)/relayWindow.Seconds(), float64(store.Calls().Reads.Load()-reads)/relayWindow.Seconds(),
		100*spent.Seconds()/per, int(kept)/daemons/1024)
	stop()
	for range daemons {
		<-ended
	}
	_ = server.Close()
	time.Sleep(time.Second)
}

func relayIP(i int) string { return fmt.Sprintf("10.1.%d.%d", i/200, i%200+1) }

func relaySettings(i, zones int) config.RouterSettings {
	ip := relayIP(i)
	return config.RouterSettings{
		Kind:   config.RouterKind,
		VM:     config.RouterVM{ID: fmt.Sprintf("vm-%03d", i), Zone: fmt.Sprintf("zone-%d", i%zones)},
		Listen: config.RouterListen{Callers: ip + ":80", Readiness: ip + ":81", Peers: ip + ":82"},
		Peers:  config.RouterPeers{Seeds: []string{"10.1.0.1:82", "10.1.0.2:82", "10.1.0.3:82"}},
		Store:  config.RouterAddress{Address: "10.9.0.1:1"},
		Bounds: config.RouterBounds{DrainTimeout: config.Duration(8 * time.Second), Lease: config.Duration(3 * time.Second), RetryWindow: config.Duration(10 * time.Second)},
	}
}
