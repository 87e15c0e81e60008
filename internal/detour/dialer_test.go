package detour

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/plankridge/plankridge/internal/standin/memnet"
)

const serverAddress = "10.2.0.1:80"

// bench is a daemon, its helpers and one backend server on an in-memory network.
type bench struct {
	*qt.C
	net     *memnet.Net
	links   *Links
	dialer  *Dialer
	helpers []*testHelper
	cutOff  atomic.Int64
	// accepted are the server's connections.
	mu       sync.Mutex
	accepted []net.Conn
	// ended counts the server's connections that were closed by their callers.
	ended atomic.Int64
}

type testHelper struct {
	Helper
	links  *Links
	server *Server
	grpc   *grpc.Server
}

func runBench(t *testing.T, helpers int, test func(b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		b := &bench{C: qt.New(t), net: memnet.New(), links: NewLinks()}
		listener := b.serve()
		for i := range helpers {
			b.addHelper(i)
		}
		host := b.net.Host("10.1.0.1")
		peers := NewPeers(host, insecure.NewCredentials())
		b.dialer = New(Options{
			VM: "vm-0", Zone: "north", Network: host, Links: b.links, Timeout: 350 * time.Millisecond, Peers: peers,
			Helpers: func(time.Time) []Helper {
				var all []Helper
				for _, h := range b.helpers {
					all = append(all, h.Helper)
				}
				return all
			},
			OnCutOff: func(string) { b.cutOff.Add(1) }, OnAllCutOff: func() {},
			Logger: slog.New(slog.DiscardHandler), Registry: prometheus.NewRegistry(),
		})
		test(b)
		peers.Close()
		for _, h := range b.helpers {
			h.grpc.Stop()
		}
		_ = listener.Close()
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, c := range b.accepted {
			_ = c.Close()
		}
		time.Sleep(5 * time.Second)
	})
}

// serve starts the server, which echoes what it receives.
func (b *bench) serve() net.Listener {
	listener, err := b.net.Host("10.2.0.1").Listen(serverAddress)
	b.Assert(err, qt.IsNil)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.accepted = append(b.accepted, conn)
			b.mu.Unlock()
			go func() {
				_, _ = io.Copy(conn, conn)
				b.ended.Add(1)
			}()
		}
	}()
	return listener
}

func (b *bench) addHelper(i int) {
	ip := "10.1.0." + string(rune('2'+i))
	h := &testHelper{Helper: Helper{VM: "vm-" + string(rune('1'+i)), Zone: "north", Address: ip + ":82"}, links: NewLinks(), grpc: grpc.NewServer()}
	h.server = NewServer(ServerOptions{Network: b.net.Host(ip), Known: func(address string) bool { return address == serverAddress }, Links: h.links})
	h.server.Register(h.grpc)
	listener, err := b.net.Host(ip).Listen(h.Address)
	b.Assert(err, qt.IsNil)
	go func() { _ = h.grpc.Serve(listener) }()
	b.helpers = append(b.helpers, h)
}

func (b *bench) dial() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 350*time.Millisecond)
	defer cancel()
	return b.dialer.Dial(ctx, serverAddress)
}

// echo checks that the connection carries bytes in both directions.
func (b *bench) echo(conn net.Conn) {
	_, err := conn.Write([]byte("order"))
	b.Assert(err, qt.IsNil)
	got := make([]byte, 5)
	_, err = io.ReadFull(conn, got)
	b.Assert(err, qt.IsNil)
	b.Check(string(got), qt.Equals, "order")
}

func viaOf(conn net.Conn) string {
	if tunnel, ok := conn.(*Conn); ok {
		return tunnel.Via()
	}
	return ""
}

func TestDirectLinkIsUsedWhileItWorks(t *testing.T) {
	runBench(t, 2, func(b *bench) {
		conn, err := b.dial()
		b.Assert(err, qt.IsNil)
		b.Check(viaOf(conn), qt.Equals, "")
		b.echo(conn)
		_ = conn.Close()
		b.Check(len(b.accepted), qt.Equals, 1)
	})
}

func TestServerIsReachedThroughAHelper(t *testing.T) {
	cuts := map[string]func(b *bench){
		"refused": func(b *bench) { b.net.RefuseNew("10.1.0.1", "10.2.0.1") },
		"hanging": func(b *bench) { b.net.Silence("10.1.0.1", "10.2.0.1") },
	}
	for name, cut := range cuts {
		t.Run(name, func(t *testing.T) {
			runBench(t, 2, func(b *bench) {
				cut(b)
				conn, err := b.dial()
				b.Assert(err, qt.IsNil)
				b.Check(viaOf(conn), qt.Not(qt.Equals), "")
				b.echo(conn)
				time.Sleep(time.Second)
				b.Check(b.cutOff.Load(), qt.Equals, int64(1))
				began := time.Now()
				second, err := b.dial()
				b.Assert(err, qt.IsNil)
				b.Check(time.Since(began), qt.Equals, time.Duration(0))
				_ = second.Close()
				_ = conn.Close()
				synctest.Wait()
				b.Check(b.ended.Load(), qt.Equals, int64(2))
			})
		})
	}
}

func TestLinkThatWorksAgainIsUsed(t *testing.T) {
	runBench(t, 2, func(b *bench) {
		b.net.Silence("10.1.0.1", "10.2.0.1")
		_, err := b.dial()
		b.Assert(err, qt.IsNil)
		time.Sleep(time.Second)
		b.net.Speak("10.1.0.1", "10.2.0.1")
		_, err = b.dial()
		b.Assert(err, qt.IsNil)
		synctest.Wait()
		conn, err := b.dial()
		b.Assert(err, qt.IsNil)
		b.Check(viaOf(conn), qt.Equals, "")
	})
}

func TestServerThatEndedIsNotTakenForALostLink(t *testing.T) {
	runBench(t, 3, func(b *bench) {
		for _, ip := range []string{"10.1.0.1", "10.1.0.2", "10.1.0.3", "10.1.0.4"} {
			b.net.RefuseNew(ip, "10.2.0.1")
		}
		_, err := b.dial()
		b.Check(errors.Is(err, syscall.ECONNREFUSED), qt.IsTrue, qt.Commentf("%v", err))
		b.Check(b.links.Plan(serverAddress, time.Now()).DetourFirst, qt.IsFalse)
	})
}

func TestHelpersWithoutLinksAreNotUsed(t *testing.T) {
	runBench(t, 3, func(b *bench) {
		b.net.RefuseNew("10.1.0.1", "10.2.0.1")
		for _, h := range b.helpers[:2] {
			for _, other := range []string{"a", "b", "c"} {
				h.links.RecordCutOff(other, time.Now())
			}
		}
		conn, err := b.dial()
		b.Assert(err, qt.IsNil)
		b.Check(viaOf(conn), qt.Equals, b.helpers[2].VM)
	})
}

func TestTunnelOfAHelperThatDiesEndsWithAnError(t *testing.T) {
	runBench(t, 1, func(b *bench) {
		b.net.RefuseNew("10.1.0.1", "10.2.0.1")
		conn, err := b.dial()
		b.Assert(err, qt.IsNil)
		b.helpers[0].grpc.Stop()
		_, err = conn.Read(make([]byte, 1))
		b.Check(err, qt.IsNotNil)
		b.Check(errors.Is(err, io.EOF), qt.IsFalse, qt.Commentf("the end of a broken answer looks complete"))
		synctest.Wait()
		b.Check(b.ended.Load(), qt.Equals, int64(1))
	})
}

func TestDrainWaitsForTunnelsAndRefusesNewOnes(t *testing.T) {
	runBench(t, 1, func(b *bench) {
		b.net.RefuseNew("10.1.0.1", "10.2.0.1")
		conn, err := b.dial()
		b.Assert(err, qt.IsNil)
		drained := make(chan struct{})
		go func() {
			b.helpers[0].server.Drain(context.Background())
			close(drained)
		}()
		synctest.Wait()
		_, err = b.dial()
		b.Check(err, qt.IsNotNil)
		b.echo(conn)
		select {
		case <-drained:
			b.Error("drained while a tunnel was open")
		default:
		}
		_ = conn.Close()
		<-drained
	})
}

func TestOnlyKnownServersAreReached(t *testing.T) {
	runBench(t, 1, func(b *bench) {
		_, err := b.dialer.options.Peers.connect(context.Background(), b.helpers[0].Helper, "10.9.0.1:1")
		b.Check(errors.Is(err, errHelperUnavailable), qt.IsTrue, qt.Commentf("%v", err))
	})
}
