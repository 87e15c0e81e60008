package onplatform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/platform/fake"
)

// orderTime is how long a server takes for an order.
const orderTime = 400 * time.Millisecond

// orders serves orders that may run once only.
func orders(b *bed) *fake.Server {
	server := b.addServer("i-1", plain, &fake.Server{Behave: func(int, *http.Request) fake.Behaviour { return fake.Behaviour{Delay: orderTime} }})
	b.configure(routes{plainRoute("/o/", "non_idempotent", 1)})
	return server
}

// keptConnection is a connection that a caller uses again and again.
type keptConnection struct {
	*bed
	net.Conn
	reader *bufio.Reader
}

func (b *bed) connect(d *daemon) *keptConnection {
	k, err := b.tryConnect(d)
	b.Assert(err, qt.IsNil)
	return k
}

// tryConnect is like connect for a daemon that may not listen.
func (b *bed) tryConnect(d *daemon) (*keptConnection, error) {
	conn, err := b.net.Host(callerIP).Dial(context.Background(), d.ip+":80")
	if err != nil {
		return nil, err
	}
	return &keptConnection{bed: b, Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// order sends an order and reports whether its answer is complete.
func (k *keptConnection) order() (id string, answered bool) {
	id = k.newID()
	_, err := fmt.Fprintf(k, "POST /o/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Token %s\r\nContent-Length: 3\r\n\r\none", host, id, testKey)
	if err != nil {
		return id, false
	}
	resp, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return id, false
	}
	body, err := io.ReadAll(resp.Body)
	return id, err == nil && (resp.StatusCode != http.StatusOK || string(body) == "answer to "+id)
}

// orderUntilClosed sends orders with a pause between them until the daemon closes the connection, and
// returns the ones without a complete answer.
func (k *keptConnection) orderUntilClosed(pause time.Duration) (unanswered []string) {
	defer func() { _ = k.Close() }()
	for {
		id, answered := k.order()
		if !answered {
			return append(unanswered, id)
		}
		time.Sleep(pause)
	}
}

// useConnections uses kept connections to a daemon, with pauses of up to the time that a stopped daemon has, until it has
// closed all of them. The returned function waits for that and returns the number of orders that ran and were not answered.
func (b *bed) useConnections(d *daemon, connections int, server *fake.Server) func() int {
	var mu sync.Mutex
	var unanswered []string
	var callers sync.WaitGroup
	for i := range connections {
		k := b.connect(d)
		callers.Go(func() {
			ids := k.orderUntilClosed(time.Duration(i) * 97 * time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			unanswered = append(unanswered, ids...)
		})
	}
	return func() int {
		callers.Wait()
		lost := 0
		for _, id := range unanswered {
			lost += server.RunCount(id)
		}
		return lost
	}
}

// TestShutdownOfLeaseHolderCutsNoOrdersWhileStoreFails guards against a shutdown in which the release of the lease takes
// the time that the requests in flight need.
func TestShutdownOfLeaseHolderCutsNoOrdersWhileStoreFails(t *testing.T) {
	for _, outage := range []fake.Outage{fake.OutageSilent, fake.OutageBusy, fake.OutageReset} {
		for _, lead := range []time.Duration{0, 300 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond, 3500 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s for %s", outage, lead), func(t *testing.T) {
				var server *fake.Server
				run(t, 3, func(b *bed) { server = orders(b) }, func(b *bed) {
					leaving := b.holder()
					lost := b.useConnections(leaving, 100, server)
					time.Sleep(2 * time.Second)
					b.store.SetOutageFor(leaving.ip, outage)
					time.Sleep(lead)
					leaving.stop()
					b.Check(<-leaving.done, qt.IsNil)
					b.Check(lost(), qt.Equals, 0)
					b.store.SetOutageFor(leaving.ip, fake.OutageNone)
					time.Sleep(5 * time.Second)
					b.Check(b.holder(), qt.Not(qt.Equals), leaving)
				})
			})
		}
	}
}

// TestUnusedConnectionsCutNoOrdersAtTheEndOfShutdown guards against a first request that is read so late on a connection
// opened before the listener was closed that the end of the shutdown cuts it.
func TestUnusedConnectionsCutNoOrdersAtTheEndOfShutdown(t *testing.T) {
	var server *fake.Server
	run(t, 1, func(b *bed) { server = orders(b) }, func(b *bed) {
		b.daemons[0].stop()
		var callers sync.WaitGroup
		var lost atomic.Int64
		for i := range 40 {
			time.Sleep(55 * time.Millisecond)
			k := b.connect(b.daemons[0])
			callers.Go(func() {
				defer func() { _ = k.Close() }()
				time.Sleep(time.Duration(i) * 130 * time.Millisecond)
				id, answered := k.order()
				if !answered {
					lost.Add(int64(server.RunCount(id)))
				}
			})
		}
		callers.Wait()
		b.Check(<-b.daemons[0].done, qt.IsNil)
		b.Check(lost.Load(), qt.Equals, int64(0))
	})
}

// TestShortShutdownCutsNoOrders guards against a shutdown that waits for the load balancer until its time is over.
func TestShortShutdownCutsNoOrders(t *testing.T) {
	for _, drain := range []time.Duration{1500 * time.Millisecond, 2 * time.Second, 3 * time.Second} {
		t.Run(drain.String(), func(t *testing.T) {
			var server *fake.Server
			run(t, 1, func(b *bed) {
				b.drain = drain
				server = orders(b)
			}, func(b *bed) {
				lost := b.useConnections(b.daemons[0], 40, server)
				time.Sleep(2 * time.Second)
				b.daemons[0].stop()
				b.Check(<-b.daemons[0].done, qt.IsNil)
				b.Check(lost(), qt.Equals, 0)
			})
		})
	}
}

// TestOrdersLateInTheGraceAreNotCut guards against orders that a stopping daemon takes late in its grace and cuts at the end.
func TestOrdersLateInTheGraceAreNotCut(t *testing.T) {
	const interval, orders = 400 * time.Millisecond, 20
	for _, took := range []time.Duration{time.Second, 3 * time.Second} {
		t.Run(took.String(), func(t *testing.T) {
			var server *fake.Server
			run(t, 1, func(b *bed) {
				b.drain = interval * orders
				server = b.addServer("i-1", plain, &fake.Server{Behave: func(int, *http.Request) fake.Behaviour { return fake.Behaviour{Delay: took} }})
				route := plainRoute("/o/", "non_idempotent", 1)
				route["timeoutMs"] = 10000
				b.configure(routes{route})
			}, func(b *bed) {
				var callers sync.WaitGroup
				var kept [orders]*keptConnection
				for i := range kept {
					kept[i] = b.connect(b.daemons[0])
					callers.Go(func() { _, _ = kept[i].order() })
				}
				callers.Wait()

				b.daemons[0].stop()
				var answered, lost atomic.Int64
				order := func(k *keptConnection) {
					defer func() { _ = k.Close() }()
					id, ok := k.order()
					if ok {
						answered.Add(1)
					} else {
						lost.Add(int64(server.RunCount(id)))
					}
				}
				for _, k := range kept {
					callers.Go(func() { order(k) })
					if k, err := b.tryConnect(b.daemons[0]); err == nil {
						callers.Go(func() { order(k) })
					}
					time.Sleep(interval)
				}
				callers.Wait()
				b.Check(<-b.daemons[0].done, qt.IsNil)
				b.Check(lost.Load(), qt.Equals, int64(0))
				b.Check(answered.Load() > 0, qt.IsTrue)
			})
		})
	}
}
