package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/plankridge/plankridge/internal/network"
)

// soundNetwork dials connections to servers of which the address "sick:1" sends noise without end.
type soundNetwork struct{ network.Network }

func (soundNetwork) Dial(_ context.Context, address string) (net.Conn, error) {
	if address == "sick:1" {
		return &endlessConn{repeat: "x"}, nil
	}
	caller, server := net.Pipe()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		time.Sleep(time.Millisecond)
		_, _ = io.WriteString(w, "ok")
	})
	go func() { _ = http.Serve(&oneListener{conns: []net.Conn{server}}, handler) }()
	return caller, nil
}

// oneListener is a listener with some connections.
type oneListener struct{ conns []net.Conn }

func (l *oneListener) Accept() (net.Conn, error) {
	if len(l.conns) == 0 {
		return nil, net.ErrClosed
	}
	conn := l.conns[0]
	l.conns = l.conns[1:]
	return conn, nil
}

func (l *oneListener) Close() error   { return nil }
func (l *oneListener) Addr() net.Addr { return &net.TCPAddr{} }

// BenchmarkResponsesWithoutEnd measures ordinary requests beside requests whose servers send noise without end: the 99th
// percentile of the ordinary ones, the mean time until the others are given up, and the most heap in use.
func BenchmarkResponsesWithoutEnd(b *testing.B) {
	const ordinary, concurrency = 1000, 50
	for _, endless := range []int{0, 1, 100} {
		b.Run(fmt.Sprintf("endless=%d", endless), func(b *testing.B) {
			pool := NewPool(soundNetwork{}, time.Second)
			defer pool.Close()
			var times []time.Duration
			var givenUp atomic.Int64
			peak := watchHeap(b)
			for b.Loop() {
				var all sync.WaitGroup
				for range endless {
					all.Go(func() {
						began := time.Now()
						_, _ = pool.Do(context.Background(), "sick:1", get("/x"), Reuse{})
						givenUp.Add(int64(time.Since(began)))
					})
				}
				times = append(times, doOrdinary(pool, ordinary, concurrency)...)
				all.Wait()
			}
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "µs-p99")
			b.ReportMetric(float64(peak())/(1<<20), "MB-heap")
			if endless > 0 {
				b.ReportMetric(float64(givenUp.Load())/1000/float64(b.N*endless), "µs-given-up")
			}
		})
	}
}

// doOrdinary makes requests, some at a time, and returns how long each took.
func doOrdinary(pool *Pool, requests, concurrency int) []time.Duration {
	times := make([]time.Duration, requests)
	var all sync.WaitGroup
	for worker := range concurrency {
		all.Go(func() {
			for i := worker; i < requests; i += concurrency {
				began := time.Now()
				if resp, err := pool.Do(context.Background(), "sound:1", get("/x"), Reuse{MaxIdle: time.Minute}); err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					resp.Close()
				}
				times[i] = time.Since(began)
			}
		})
	}
	all.Wait()
	return times
}

// watchHeap samples the heap in use until the returned function is called, which returns the maximum.
func watchHeap(b *testing.B) func() uint64 {
	b.Helper()
	runtime.GC()
	stop, done := make(chan struct{}), make(chan struct{})
	var most uint64
	go func() {
		defer close(done)
		for {
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			most = max(most, stats.HeapInuse)
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	return func() uint64 {
		close(stop)
		<-done
		return most
	}
}
