package capacity

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/plankridge/plankridge/examples"
	"github.com/plankridge/plankridge/internal/burn"
	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/dev"
	"github.com/plankridge/plankridge/internal/discovery"
	"github.com/plankridge/plankridge/internal/dispatch"
	"github.com/plankridge/plankridge/internal/engine"
	"github.com/plankridge/plankridge/internal/limit"
	"github.com/plankridge/plankridge/internal/request"
	"github.com/plankridge/plankridge/internal/vmlist"
)

// heap returns the bytes in use after a collection.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func sampleIndex(b *testing.B) *config.Index {
	files, err := examples.Files("ndiaye")
	qt.New(b).Assert(err, qt.IsNil)
	d, err := config.Load(files)
	qt.New(b).Assert(err, qt.IsNil)
	return config.NewIndex(d)
}

// withRunners returns a registry with that many servers of modele-devis.
func withRunners(b *testing.B, count int) *discovery.Registry {
	registry := discovery.NewRegistry("d", slog.New(slog.DiscardHandler))
	registry.ApplyConfig(sampleIndex(b))
	changes := vmlist.VMChanges{Revision: 1, Full: true}
	for i := range count {
		changes.VMs = append(changes.VMs, vmlist.VM{
			ID: fmt.Sprintf("runner-%05d", i), Zone: "hall-nord", Role: vmlist.RoleBackend, Service: "modele-devis",
			Class: "accel-4", Market: "reclaimable", State: vmlist.VMLive, Address: fmt.Sprintf("10.9.%d.%d:8000", i/250, i%250),
		})
	}
	registry.Apply(changes)
	return registry
}

// BenchmarkServersInView measures what a daemon holds and spends for each
// server in its view: bytes, and time for one decision with its candidates.
func BenchmarkServersInView(b *testing.B) {
	for _, count := range []int{100, 1000, 2600} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			before := heap()
			registry := withRunners(b, count)
			bytes := (heap() - before) / float64(count)
			b.ReportAllocs()
			for b.Loop() {
				registry.Candidates("modele-devis", 2000, time.Now())
			}
			b.ReportMetric(bytes, "bytes/server")
			runtime.KeepAlive(registry)
		})
	}
}

// stuckEngine accepts every attempt and never answers.
type stuckEngine struct{ engine.Engine }

// Generate implements engine.Engine.
func (stuckEngine) Generate(ctx context.Context, _ string, _ engine.Attempt, _ func(engine.Event) error) error {
	<-ctx.Done()
	return ctx.Err()
}

// Cancel implements engine.Engine.
func (stuckEngine) Cancel(context.Context, string, string) error { return nil }

// noReplicator keeps no copies.
type noReplicator struct{ dispatch.Replicator }

// Copy implements dispatch.Replicator.
func (noReplicator) Copy(context.Context, dispatch.Copy) (string, error) { return "none", nil }

// Release implements dispatch.Replicator.
func (noReplicator) Release(context.Context, string, request.ID) error { return nil }

// BenchmarkRequestsInFlight measures the memory of an accepted request beside
// its prompt, with connections left out.
func BenchmarkRequestsInFlight(b *testing.B) {
	for _, count := range []int{500, 2000, 8000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			limiter := limit.NewLimiter()
			index := sampleIndex(b)
			index.Deployment.Workspaces[0].Limits = config.Limits{}
			limiter.ApplyConfig(index)
			d := dispatch.New(dispatch.Options{
				DaemonID: "d", Zone: "hall-nord", Limits: config.DefaultSettings().Limits, Registry: withRunners(b, 10),
				Limiter: limiter, Engine: stuckEngine{}, Burn: burn.NewRecorder(), Replicator: noReplicator{},
				Logger: slog.New(slog.DiscardHandler), Registerer: prometheus.NewRegistry(),
			})
			route := index.Route(index.Service("modele-devis"), http.MethodPost, "")
			route.Targets.QueueWait = config.Duration(24 * time.Hour)
			before := heap()
			var last *dispatch.Flight
			for range count {
				flight, refusal := d.Submit(request.Spec{
					Kind: request.KindChat, Workspace: "devis", Service: "modele-devis", Route: route, Async: true,
					Model: &request.ModelRequest{Name: "modele-devis", MaxTokens: 100},
				})
				if refusal != nil {
					b.Fatal(refusal.Detail)
				}
				last = flight
			}
			bytes := (heap() - before) / float64(count)
			for b.Loop() {
				_, _ = d.Find(last.ID())
			}
			b.ReportMetric(bytes, "bytes/request")
			d.Stop()
			_ = d.Drain(context.Background())
		})
	}
}

// startLoopback starts a deployment over TCP whose engines answer at once.
func startLoopback(b *testing.B) *dev.Deployment {
	c := qt.New(b)
	d, err := dev.Start(context.Background(), dev.Options{
		Example: "ndiaye", Logger: slog.New(slog.DiscardHandler), Hosts: dev.Loopback{}, BenchmarkMode: true,
	})
	c.Assert(err, qt.IsNil)
	b.Cleanup(d.Stop)
	c.Assert(d.WaitReady(context.Background()), qt.IsNil)
	return d
}

// member returns the address of a server of a service.
func member(b *testing.B, d *dev.Deployment, service string) string {
	for _, vm := range d.StandIns.Fleet.Members() {
		if vm.Service == service {
			return vm.Address
		}
	}
	b.Fatal("no server of ", service)
	return ""
}

// post sends a request and reads its whole answer.
func post(b *testing.B, client *http.Client, url, body string) {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+examples.SampleKey("devis"))
	resp, err := client.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if err != nil || resp.StatusCode != http.StatusOK || n == 0 {
		b.Fatalf("status %d, %d bytes, %v", resp.StatusCode, n, err)
	}
}

// BenchmarkOverhead measures what a daemon adds to one call of a plain service
// beside a direct call to the same stand-in: run both and compare.
func BenchmarkOverhead(b *testing.B) {
	d := startLoopback(b)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	for _, way := range []struct{ name, url string }{
		{"direct", "http://" + member(b, d, "app-carriere") + "/weighings"},
		{"daemon", "http://" + d.Nodes[0].Daemon.CallerAddress() + "/services/app-carriere/weighings"},
		{"daemon-non-idempotent", "http://" + d.Nodes[0].Daemon.CallerAddress() + "/services/app-carriere/orders"},
	} {
		b.Run(way.name, func(b *testing.B) {
			latency := hdrhistogram.New(1, int64(time.Minute), 3)
			b.ReportAllocs()
			cpu := cpuTime()
			for b.Loop() {
				begun := time.Now()
				post(b, client, way.url, `{"tonnes":12}`)
				_ = latency.RecordValue(time.Since(begun).Nanoseconds())
			}
			b.ReportMetric(float64(cpuTime()-cpu)/float64(b.N)/1000, "cpu-µs/op")
			b.ReportMetric(float64(latency.ValueAtQuantile(50))/1000, "p50-µs")
			b.ReportMetric(float64(latency.ValueAtQuantile(99))/1000, "p99-µs")
		})
	}
}

// BenchmarkStream measures a stream by its number of tokens, beside a direct
// call to the engine. The slope between the sizes is the cost of a token.
func BenchmarkStream(b *testing.B) {
	d := startLoopback(b)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	for _, tokens := range []int{4, 12, 24} {
		chat := fmt.Sprintf(`{"model":"modele-devis","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"How heavy is block 12?"}]}`, tokens)
		direct := fmt.Sprintf(`{"request_id":"r","attempt":1,"prompt":"How heavy is block 12?","max_tokens":%d}`, tokens)
		for _, way := range []struct{ name, url, body string }{
			{"direct", "http://" + member(b, d, "modele-devis") + "/generate", direct},
			{"daemon", "http://" + d.Nodes[0].Daemon.CallerAddress() + "/v1/chat/completions", chat},
		} {
			b.Run(fmt.Sprintf("%d/%s", tokens, way.name), func(b *testing.B) {
				b.ReportAllocs()
				cpu := cpuTime()
				for b.Loop() {
					post(b, client, way.url, way.body)
				}
				b.ReportMetric(float64(cpuTime()-cpu)/float64(b.N)/1000, "cpu-µs/op")
			})
		}
	}
}
