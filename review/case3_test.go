//go:build review

package review

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/plankridge/plankridge/platform/fake"
)

func init() { cases["case3"] = stopOfTheLeaseHolder }

const (
	// workTime is within the 450 ms that an order takes at most by the sheet of swanbourne-orders.
	workTime = 400 * time.Millisecond
	// orderTimeout is the route's timeoutMs, and the time limit of the requesters is 4 s.
	orderTimeout = 2000
	// keptChannels are opened to the lease holder before it is stopped, each by one requester.
	keptChannels = 90
	// firstUse and lastUse are when they are used again, after the SIGTERM.
	firstUse, lastUse = 3200 * time.Millisecond, 7900 * time.Millisecond
	// silence is how long the store is silent to the lease holder.
	silence = 9 * time.Second
	// stopDelay is the time from the start of the silence to the SIGTERM.
	stopDelay = 700 * time.Millisecond
	grace     = 8 * time.Second
)

// order is what a requester saw of one request.
type order struct {
	id       string
	sentAt   time.Duration
	endedAt  time.Duration
	status   int
	complete bool
	err      error
}

// stopOfTheLeaseHolder stops the lease holder while the store is silent to it.
func stopOfTheLeaseHolder() (int, error) {
	r, err := newRecord()
	if err != nil {
		return notRun, err
	}
	server := &fake.Server{ID: "mill-desk-1", Behave: func(int, *http.Request) fake.Behaviour { return fake.Behaviour{Delay: workTime} }}
	d, err := startDeployment(r, 3, func(d *deployment) error {
		d.putConfig(1, route("yarn-reserve", "/reserve/", "non_idempotent", plainService, orderTimeout))
		address, err := d.serve("127.83.9.1", server)
		if err != nil {
			return err
		}
		d.putServer(server.ID, plainService, address, "perth-a", "ready", 1)
		return nil
	})
	defer d.close()
	if err != nil {
		return notRun, err
	}
	holder := d.leaseHolder()
	for range 100 {
		if holder != nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
		holder = d.leaseHolder()
	}
	if holder == nil {
		return notRun, fmt.Errorf("no daemon holds the lease")
	}
	// Past the start, so that nothing else is going on.
	time.Sleep(4 * time.Second)
	holder = d.leaseHolder()
	d.line("%s holds the lease", holder.id)
	channels, err := d.openChannels(holder)
	if err != nil {
		return notRun, err
	}
	if troubled() {
		holder.storeLink.silent.Store(true)
		d.line("the store is silent to %s", holder.id)
		time.AfterFunc(silence, func() {
			holder.storeLink.silent.Store(false)
			d.line("the store answers %s again", holder.id)
		})
	}
	time.Sleep(stopDelay)
	stopped := time.Now()
	if err := holder.signal(syscall.SIGTERM); err != nil {
		return notRun, err
	}
	d.line("SIGTERM to %s", holder.id)
	killer := time.AfterFunc(grace, func() {
		_ = holder.signal(syscall.SIGKILL)
		d.line("SIGKILL to %s", holder.id)
	})
	defer killer.Stop()
	orders := useAgain(channels, stopped)
	select {
	case <-holder.exited:
		d.line("%s has exited %.3f s after the SIGTERM", holder.id, time.Since(stopped).Seconds())
	case <-time.After(grace):
	}
	return d.judgeOrders(orders, server), nil
}

// channel is a kept channel of a requester.
type channel struct {
	net.Conn
	reader *bufio.Reader
	n      int
}

// openChannels opens kept channels and has one request answered on each.
func (d *deployment) openChannels(to *daemon) ([]*channel, error) {
	channels := make([]*channel, keptChannels)
	var wait sync.WaitGroup
	var mu sync.Mutex
	var failed error
	for n := range channels {
		wait.Go(func() {
			time.Sleep(time.Duration(n) * 25 * time.Millisecond)
			conn, err := net.Dial("tcp", to.callers)
			if err == nil {
				channels[n] = &channel{Conn: conn, reader: bufio.NewReader(conn), n: n}
				if o := channels[n].send("a", time.Now()); !o.complete {
					err = fmt.Errorf("request before the stop: status %d, %w", o.status, o.err)
				}
			}
			if err != nil {
				mu.Lock()
				failed = err
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	d.line("%d channels are open and idle", len(channels))
	return channels, failed
}

// send sends one order and reads its answer.
func (c *channel) send(series string, since time.Time) order {
	o := order{id: fmt.Sprintf("%s%015x", series, c.n+1), sentAt: time.Since(since)}
	defer func() { o.endedAt = time.Since(since) }()
	body := "reserve one bale"
	_, o.err = fmt.Fprintf(c, "POST /reserve/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n%s",
		host, o.id, key, len(body), body)
	if o.err != nil {
		return o
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		o.err = err
		return o
	}
	text, err := io.ReadAll(resp.Body)
	o.status, o.err = resp.StatusCode, err
	o.complete = err == nil && (resp.StatusCode != http.StatusOK || strings.HasSuffix(string(text), o.id))
	return o
}

// useAgain uses each channel once more, at a time of its own.
func useAgain(channels []*channel, stopped time.Time) []order {
	orders := make([]order, len(channels))
	var wait sync.WaitGroup
	for i, c := range channels {
		wait.Go(func() {
			at := firstUse + time.Duration(i)*(lastUse-firstUse)/time.Duration(len(channels))
			time.Sleep(time.Until(stopped.Add(at)))
			orders[i] = c.send("b", stopped)
			_ = c.Close()
		})
	}
	wait.Wait()
	return orders
}

// judgeOrders applies the rule LOST: no request that was passed on to a server may end with a closed
// channel. Those that were not passed on crossed the close and do not count.
func (d *deployment) judgeOrders(orders []order, server *fake.Server) int {
	lost, answered, crossed := 0, 0, 0
	for _, o := range orders {
		runs := server.RunCount(o.id)
		d.line("order %s: sent %.3f s after the SIGTERM, ended at %.3f s, status %d, complete %v, runs at the server %d, %v",
			o.id, o.sentAt.Seconds(), o.endedAt.Seconds(), o.status, o.complete, runs, o.err)
		switch {
		case o.complete:
			answered++
		case runs > 0:
			lost++
		default:
			crossed++
		}
	}
	return d.verdict(lost > 0, "of %d orders on kept channels after the SIGTERM %d were answered, %d met a closed channel and did not run, %d ran and their channel was closed without an answer",
		len(orders), answered, crossed, lost)
}
