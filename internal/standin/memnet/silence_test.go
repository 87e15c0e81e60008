package memnet

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	clientIP      = "10.0.0.1"
	serverIP      = "10.0.0.2"
	serverAddress = serverIP + ":80"
)

// openPair returns the two ends of a connection between the client's and the server's host.
func openPair(c *qt.C, n *Net) (client, server net.Conn) {
	listener, err := n.Host(serverIP).Listen(serverAddress)
	c.Assert(err, qt.IsNil)
	client, err = n.Host(clientIP).Dial(c.Context(), serverAddress)
	c.Assert(err, qt.IsNil)
	server, err = listener.Accept()
	c.Assert(err, qt.IsNil)
	return client, server
}

func TestBytesInFlightAtLossOfPowerNeverArrive(t *testing.T) {
	for _, away := range []time.Duration{time.Second, 2 * probesFail} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			n := New()
			client, server := openPair(c, n)
			n.Darken(clientIP)
			_, err := client.Write([]byte("sent"))
			c.Assert(err, qt.IsNil)
			c.Assert(client.Close(), qt.IsNil)
			time.Sleep(away)
			n.Lighten(clientIP)
			read, err := server.Read(make([]byte, 4))
			c.Check(read, qt.Equals, 0)
			c.Check(err, qt.ErrorIs, net.ErrClosed)
		})
	}
}

func TestBytesHeldBySilenceArriveUnlessTheConnectionIsGivenUp(t *testing.T) {
	for _, given := range []struct {
		silence time.Duration
		arrives bool
	}{{probesFail / 2, true}, {2 * probesFail, false}} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			n := New()
			client, server := openPair(c, n)
			n.Silence(clientIP, serverIP)
			_, err := client.Write([]byte("sent"))
			c.Assert(err, qt.IsNil)
			time.Sleep(given.silence)
			n.Speak(clientIP, serverIP)
			read, err := server.Read(make([]byte, 4))
			if !given.arrives {
				c.Check(read, qt.Equals, 0)
				c.Check(err, qt.ErrorIs, net.ErrClosed)
				return
			}
			c.Check(read, qt.Equals, 4)
			c.Check(err, qt.IsNil)
			c.Assert(client.Close(), qt.IsNil)
		})
	}
}

func TestPausedHostReadsLaterWhatWasSentToIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := New()
		client, server := openPair(c, n)
		from, err := n.Host(clientIP).ListenPacket(clientIP + ":90")
		c.Assert(err, qt.IsNil)
		to, err := n.Host(serverIP).ListenPacket(serverIP + ":90")
		c.Assert(err, qt.IsNil)
		n.Pause(serverIP)
		_, err = client.Write([]byte("bytes"))
		c.Assert(err, qt.IsNil)
		_, _ = from.WriteTo([]byte("datagram"), to.LocalAddr())
		_, _ = to.WriteTo([]byte("of a paused host"), from.LocalAddr())
		begun, received := time.Now(), make(chan time.Duration, 2)
		go func() {
			_, _ = server.Read(make([]byte, 10))
			received <- time.Since(begun)
		}()
		go func() {
			_, _, _ = to.ReadFrom(make([]byte, 10))
			received <- time.Since(begun)
		}()
		time.Sleep(2 * probesFail)
		n.Continue(serverIP)
		c.Check(<-received, qt.Equals, 2*probesFail)
		c.Check(<-received, qt.Equals, 2*probesFail)
		c.Assert(from.Close(), qt.IsNil)
		_, _, err = from.ReadFrom(make([]byte, 20))
		c.Check(err, qt.ErrorIs, net.ErrClosed)
	})
}
