//go:build review

// Package review holds the cases of an independent review. Each case starts the project's daemons as
// separate processes before stand-ins for the platform and its servers. See REPORT.md.
package review

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/plankridge/plankridge/platform/fake"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// cases are the programs of the test binary, selected by REVIEW_PROGRAM.
var cases = map[string]func() (int, error){}

// TestMain runs the selected program in place of tests. The exit code is that of the case.
func TestMain(*testing.M) {
	program := cases[os.Getenv("REVIEW_PROGRAM")]
	if program == nil {
		fmt.Fprintln(os.Stderr, "set REVIEW_PROGRAM; see review/REPORT.md")
		os.Exit(notRun)
	}
	code, err := program()
	if err != nil {
		fmt.Fprintln(os.Stderr, "case could not run:", err)
		code = notRun
	}
	os.Exit(code)
}

// troubled reports whether the disruption is to be made.
func troubled() bool { return os.Getenv("TROUBLE") != "0" }

// record writes what was sent, answered and run, with the time since the start of the case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord() (*record, error) {
	file, err := os.Create(filepath.Join(os.Getenv("REVIEW_FOLDER"), "record.txt"))
	return &record{file: file, began: time.Now()}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// verdict records the result of the case and returns its exit code.
func (r *record) verdict(isBroken bool, format string, args ...any) int {
	text, code := "HELD", held
	if isBroken {
		text, code = "BROKEN", broken
	}
	line := text + ": " + fmt.Sprintf(format, args...)
	r.line("%s", line)
	fmt.Println(line)
	return code
}

// Settings of a small deployment, as the sheet of swanbourne-orders gives them.
const settingsText = `kind: router
vm: {id: %[1]s, zone: %[2]s, region: perth-west, link_mbps: 1000, cpu_share: 0.4}
listen: {callers: "%[3]s", readiness: "%[4]s", peers: "%[5]s", metrics: "%[6]s"}
peers: {seeds: [%[7]s], bootstrap: true}
store: {address: "%[8]s"}
cloud: {address: "%[9]s"}
bounds: {drain: 8s, lease: 3000ms, retry_ratio: 0.2, retry_window: 10s, retry_extra: 54, usage_window: 5s, usage_due: 10s,
  quota_window: 8s, quota_over: 0.1, quota_slack: 140000, leaving: 2000ms}
`

const (
	host          = "orders.example"
	streamService = "loom-llm"
	plainService  = "mill-desk"
	key           = "key-of-the-mill"
)

// daemon is one process of the project.
type daemon struct {
	id, ip, callers, readiness, peers, metrics string
	command                                    *exec.Cmd
	exited                                     chan struct{}
	// storeLink is the daemon's own path to the store.
	storeLink *storeLink
}

// storeLink passes a daemon's calls to the store, which may be silent to it.
type storeLink struct {
	store  http.Handler
	silent atomic.Bool
}

// ServeHTTP implements http.Handler. A call that arrives or would be answered during the silence gets
// no answer.
func (l *storeLink) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := httptest.NewRecorder()
	if !l.silent.Load() {
		l.store.ServeHTTP(answer, r)
	}
	if l.silent.Load() {
		<-r.Context().Done()
		return
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// deployment is the daemons of a case and its stand-ins.
type deployment struct {
	*record
	folder  string
	store   *fake.Store
	cloud   *fake.Cloud
	daemons []*daemon
	closers []func()
}

// startDeployment starts daemons, each in a zone of its own, and waits until all are ready. configure
// writes the objects of the operator and the servers before.
func startDeployment(r *record, daemons int, configure func(*deployment) error) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, folder: folder, store: fake.NewStore(), cloud: fake.NewCloud()}
	d.closers = append(d.closers, func() { _ = os.RemoveAll(folder) })
	cloudAddress, err := d.serve("127.0.0.1", d.cloud)
	if err != nil {
		return d, err
	}
	if err := configure(d); err != nil {
		return d, err
	}
	for i := range daemons {
		one, err := newDaemon(i)
		if err != nil {
			return d, err
		}
		d.daemons = append(d.daemons, one)
	}
	for i := range d.daemons {
		if err := d.startDaemon(i, cloudAddress); err != nil {
			return d, err
		}
	}
	return d, d.awaitReady()
}

// newDaemon reserves free ports on a loopback address of the daemon's own.
func newDaemon(n int) (*daemon, error) {
	one := &daemon{id: fmt.Sprintf("front-perth-%c-1", 'a'+n), ip: fmt.Sprintf("127.83.%d.1", n+1)}
	for _, address := range []*string{&one.callers, &one.readiness, &one.peers, &one.metrics} {
		listener, err := net.Listen("tcp", one.ip+":0")
		if err != nil {
			return nil, err
		}
		*address = listener.Addr().String()
		defer func() { _ = listener.Close() }()
	}
	return one, nil
}

func (d *deployment) startDaemon(n int, cloudAddress string) error {
	one := d.daemons[n]
	one.storeLink = &storeLink{store: d.store}
	storeAddress, err := d.serve("127.0.0.1", one.storeLink)
	if err != nil {
		return err
	}
	var seeds []string
	for _, other := range d.daemons[:min(3, len(d.daemons))] {
		seeds = append(seeds, fmt.Sprintf("%q", other.peers))
	}
	text := fmt.Sprintf(settingsText, one.id, fmt.Sprintf("perth-%c", 'a'+n), one.callers, one.readiness, one.peers, one.metrics,
		strings.Join(seeds, ", "), storeAddress, cloudAddress)
	settings := filepath.Join(d.folder, one.id+".yaml")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(d.folder, one.id+".log"))
	if err != nil {
		return err
	}
	// The command of the role in deploy/system.toml.
	one.command = exec.Command("target/plankridge", "serve")
	one.command.Env = append(os.Environ(), "PLANKRIDGE_SETTINGS="+settings)
	one.command.Stdout, one.command.Stderr = output, output
	if err := one.command.Start(); err != nil {
		return err
	}
	one.exited = make(chan struct{})
	go func() {
		_ = one.command.Wait()
		close(one.exited)
	}()
	d.closers = append(d.closers, func() {
		_ = one.command.Process.Kill()
		<-one.exited
		_ = output.Close()
	})
	return nil
}

// serve serves a handler on a free port until the case ends.
func (d *deployment) serve(ip string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	d.closers = append(d.closers, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// close ends all processes and stand-ins. The daemons' logs are kept where REVIEW_LOGS says.
func (d *deployment) close() {
	for i := len(d.closers) - 1; i >= 0; i-- {
		if i == 0 {
			d.keepLogs()
		}
		d.closers[i]()
	}
}

func (d *deployment) keepLogs() {
	to := os.Getenv("REVIEW_LOGS")
	if to == "" {
		return
	}
	logs, _ := filepath.Glob(filepath.Join(d.folder, "*.log"))
	for _, log := range logs {
		if text, err := os.ReadFile(log); err == nil {
			_ = os.WriteFile(filepath.Join(to, filepath.Base(log)), text, 0o600)
		}
	}
}

var errNotReady = errors.New("daemons are not ready")

var statusClient = &http.Client{Timeout: time.Second}

// awaitReady waits until every daemon reports itself ready.
func (d *deployment) awaitReady() error {
	ready := func(one *daemon) bool {
		resp, err := statusClient.Get("http://" + one.readiness + "/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}
	for range 200 {
		count := 0
		for _, one := range d.daemons {
			if ready(one) {
				count++
			}
		}
		if count == len(d.daemons) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errNotReady
}

// leaseHolder returns the daemon that holds the lease by the store's record, or nil.
func (d *deployment) leaseHolder() *daemon {
	spec := d.store.Object("plankridge-leases", "cloud")
	for _, one := range d.daemons {
		if bytes.Contains(spec, []byte(fmt.Sprintf(`"holder":%q`, one.id))) {
			return one
		}
	}
	return nil
}

func (one *daemon) signal(s syscall.Signal) error { return one.command.Process.Signal(s) }

// route returns a route of the operator's configuration. Its requests go to one server only.
func route(name, prefix, kind, service string, timeoutMs int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeoutMs, "targetLatencyMs": 300, "priority": 1,
		"service": service, "maxAttempts": 1, "gapAimMs": 250, "streamResume": false, "sticky": kind == "streaming",
	}
}

// resumable makes a route of streams one whose streams may be resumed, once.
func resumable(route map[string]any) map[string]any {
	route["streamResume"], route["maxAttempts"] = true, 2
	return route
}

// putConfig writes the operator's configuration.
func (d *deployment) putConfig(version int, routes ...map[string]any) {
	d.store.Put("config", "main", map[string]any{
		"version": version, "routes": routes,
		"tenants": []map[string]any{{"name": "mill", "apiKeys": []string{key}, "unit": "token_stream", "plainTokens": 100, "ratePerS": 0, "burst": 0}},
		"services": []map[string]any{
			{"name": plainService, "healthPath": "/healthz", "maxConns": 400},
			{"name": streamService, "healthPath": "/healthz", "maxConns": 400, "engine": map[string]any{"slots": 24, "kvCapacityTokens": 731070, "stride": 7, "kvTokenBytes": 131072, "linkMbps": 130000, "moves": true, "handleS": 4}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// putServer writes the entry of a server.
func (d *deployment) putServer(id, service, address, zone, state string, seq int) {
	d.store.Put("servers", id, map[string]any{
		"service": service, "address": address, "zone": zone, "slots": 24, "state": state, "seq": seq, "version": "v1", "coldLeftMs": 0,
	})
	d.line("server %s of %s at %s is %s in the store", id, service, address, state)
}
