package soak

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/platform/fake"
)

const (
	plainService = "desk"
	modelService = "llm"
	workspace    = "quarry"
	// lastingKey is valid throughout; the other key comes and goes.
	lastingKey = "key-one"
	movingKey  = "key-two"
	host       = "calls.example"
	// drainTime is what a stopping daemon has until it would be killed.
	drainTime = 8 * time.Second
	// poison is the body of a request that ends each server that runs it, badPart a part of
	// prompts that does, and awayFor how long a server is away then.
	poison  = "poison"
	badPart = "bad"
	awayFor = 1500 * time.Millisecond
	// daemonsInSubnet is the number of daemons in each subnet of loopback addresses.
	daemonsInSubnet = 250
	// eventsOfStream is the number of events of every stream.
	eventsOfStream = 12
)

// workspaceOf is by key.
var workspaceOf = map[string]string{lastingKey: workspace, movingKey: workspace, limitedKey: limitedWorkspace}

// deployment is a set of real daemons before stand-ins in the test's process.
type deployment struct {
	*qt.C
	binary string
	folder string
	store  *fake.Store
	cloud  *fake.Cloud

	storeAddress, cloudAddress string

	daemons []*process
	servers []*server

	mu      sync.Mutex
	version int
	// lowered is set once the allowance is the lower one, since loweredAt at all daemons.
	lowered   bool
	loweredAt time.Time
}

// process is one daemon.
type process struct {
	id, zone, ip string
	settings     string
	log          *os.File
	storeLink    *link
	// clock is the file that says how long the process's clock has stood still.
	clock string

	// replacing is held while the process is ended and started again.
	replacing sync.Mutex

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// stoodStill is how long that is since the process started.
	stoodStill time.Duration
	// heldAt is since when the process stands still, if it does, and still whether its clock
	// does too.
	heldAt time.Time
	still  bool
}

// server is a backend server behind a link of its own.
type server struct {
	name, service string
	runner        *fake.Server
	http          *httptest.Server
	link          *link

	// mu guards the ID of the present start, and what the server's answers say.
	mu     sync.Mutex
	id     string
	starts int
	says   fake.Behaviour
}

// say sets what the server's answers say of the work that it takes.
func (s *server) say(b fake.Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.says = b
}

func (s *server) said() fake.Behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.says
}

const settingsText = `kind: router
vm: {id: %s, zone: %s}
listen: {callers: "%s:8080", readiness: "%s:8081", peers: "%s:8082", metrics: "%s:8083"}
peers: {seeds: [%s]}
store: {address: "%s"}
cloud: {address: "%s"}
bounds: {drain: 8s, lease: 3s, retry_ratio: 0.2, retry_window: 10s, retry_extra: 50, usage_window: 5s, usage_due: 10s,
  quota_window: %s, quota_over: %g, quota_slack: %d}
`

// start starts a deployment with daemons in three zones, on loopback addresses of
// its own subnet.
func start(t *testing.T, subnet, daemons int) *deployment {
	c := qt.New(t)
	d := &deployment{C: c, folder: t.TempDir(), store: fake.NewStore(), cloud: fake.NewCloud()}
	d.binary = filepath.Join(d.folder, "plankridge")
	d.build()
	d.storeAddress, d.cloudAddress = d.serve(d.store), d.serve(d.cloud)
	for i := range 3 {
		d.addServer(fmt.Sprintf("desk-%d", i), plainService)
		d.addServer(fmt.Sprintf("llm-%d", i), modelService)
	}
	d.configure(true)
	for i := range daemons {
		d.addDaemon(t, i, subnet)
	}
	return d
}

// serve serves a handler until the test ends and returns its address.
func (d *deployment) serve(handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	d.Assert(err, qt.IsNil)
	s := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(listener) }()
	d.Cleanup(func() { _ = s.Close() })
	return listener.Addr().String()
}

func (d *deployment) addServer(id, service string) *server {
	s := &server{id: id, name: id, service: service, runner: &fake.Server{ID: id}}
	s.runner.Behave = func(n int, _ *http.Request) fake.Behaviour {
		b := s.said()
		b.Delay = 5 * time.Millisecond
		// Some answers are lost and some streams break, whatever else happens.
		switch {
		case service == plainService && n%23 == 0:
			b.LoseAnswer = true
		case service == plainService && n%17 == 0:
			b.Decline = true
		case service == modelService && n%11 == 0:
			b.BreakAfter = 3
		}
		return b
	}
	if service == modelService {
		s.runner.EventCount = eventsOfStream
	}
	s.http = httptest.NewServer(d.crashOn(s))
	link, err := newLink(s.http.Listener.Addr().String())
	d.Assert(err, qt.IsNil)
	s.link = link
	d.Cleanup(func() {
		link.close()
		s.http.CloseClientConnections()
		s.http.Close()
	})
	d.servers = append(d.servers, s)
	d.list(s, "ready")
	return s
}

// crashOn returns a handler that ends the server under poison or a bad part: its link refuses all for a while,
// and it is back under another ID.
func (d *deployment) crashOn(s *server) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if string(body) != poison && !strings.Contains(r.Header.Get("Prefix-Hash"), badPart+":") {
			s.runner.ServeHTTP(w, r)
			return
		}
		s.link.down()
		go func() {
			time.Sleep(awayFor)
			d.comeBack(s)
		}()
		panic(http.ErrAbortHandler)
	})
}

// comeBack starts a server again under a new ID.
func (d *deployment) comeBack(s *server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.link.up() {
		// The test has ended, or another call was first.
		return
	}
	s.starts++
	d.store.Remove("servers", s.id)
	s.id = fmt.Sprintf("%s-%d", s.name, s.starts)
	s.runner.SetID(s.id)
	d.put(s, "ready")
}

func (d *deployment) list(s *server, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d.put(s, state)
}

// put writes a server's entry; the caller holds its lock.
func (d *deployment) put(s *server, state string) {
	d.store.Put("servers", s.id, map[string]any{
		"service": s.service, "address": s.link.address(), "zone": "zone-1", "slots": 16, "state": state, "seq": 1, "version": "v1", "coldLeftMs": 0,
	})
}

// configure writes a new version of the configuration, with the moving key or
// without.
func (d *deployment) configure(withKey bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version += 2
	keys := []string{lastingKey}
	if withKey {
		keys = append(keys, movingKey)
	}
	route := func(prefix, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": "r" + prefix[1:2], "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": 3000, "targetLatencyMs": 1000,
			"service": service, "maxAttempts": attempts, "streamResume": kind == "streaming", "sticky": kind == "streaming", "gapAimMs": 500,
		}
	}
	d.store.Put("config", "main", map[string]any{
		"version": d.version,
		"routes": []map[string]any{
			route("/a/", "idempotent", plainService, 3), route("/b/", "non_idempotent", plainService, 2), route("/c/", "streaming", modelService, 3),
		},
		"tenants": []map[string]any{
			{"name": workspace, "apiKeys": keys, "unit": "token_stream", "plainTokens": callTokens, "ratePerS": 0, "burst": 0},
			{"name": limitedWorkspace, "apiKeys": []string{limitedKey}, "unit": "token_stream", "plainTokens": callTokens, "ratePerS": d.rate(), "burst": d.rate()},
		},
		"services": []map[string]any{
			{"name": plainService, "healthPath": "/healthz", "maxConns": 96},
			{"name": modelService, "healthPath": "/healthz", "maxConns": 600, "engine": map[string]any{"slots": 16, "kvCapacityTokens": 100000, "stride": 3}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 100000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// rate returns the allowance in force, in tokens a second; its burst is as large. The caller holds the lock.
func (d *deployment) rate() float64 {
	if d.lowered {
		return loweredRate
	}
	return limitedRate
}

// lower lowers the allowance, and waits until all daemons go by that, or a minute has passed.
func (d *deployment) lower() bool {
	d.mu.Lock()
	d.lowered = true
	d.mu.Unlock()
	d.configure(true)
	line := fmt.Sprintf("plankridge_config_version %d\n", d.version)
	inForce := d.eventually(func(p *process) bool { return strings.Contains(read("http://"+p.ip+":8083/metrics"), line) })
	d.loweredAt = time.Now()
	return inForce
}

func (d *deployment) addDaemon(t *testing.T, n, subnet int) {
	ip := fmt.Sprintf("127.%d.%d.%d", 88+n/daemonsInSubnet, subnet, n%daemonsInSubnet+1)
	p := &process{id: fmt.Sprintf("vm-%d", n+1), zone: fmt.Sprintf("zone-%d", n%3), ip: ip}
	link, err := newLink(d.storeAddress)
	d.Assert(err, qt.IsNil)
	p.storeLink = link
	p.settings, p.clock = filepath.Join(d.folder, p.id+".yaml"), filepath.Join(d.folder, p.id+".clock")
	seeds := fmt.Sprintf(`"127.88.%d.1:8082", "127.88.%d.2:8082"`, subnet, subnet)
	text := fmt.Sprintf(settingsText, p.id, p.zone, ip, ip, ip, ip, seeds, link.address(), d.cloudAddress, limitedWindow, limitedOver, limitedSlack)
	d.Assert(os.WriteFile(p.settings, []byte(text), 0o600), qt.IsNil)
	p.log, err = os.Create(filepath.Join(d.folder, p.id+".log"))
	d.Assert(err, qt.IsNil)
	d.daemons = append(d.daemons, p)
	d.Assert(p.start(d.binary), qt.IsNil)
	t.Cleanup(func() {
		p.goOn()
		p.end(syscall.SIGKILL)
		<-p.exited
		link.close()
		_ = p.log.Close()
	})
}

// start starts the process.
func (p *process) start(binary string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stoodStill, p.heldAt = 0, time.Time{}
	if err := p.standStill(0); err != nil {
		return err
	}
	p.command = exec.Command(binary, "serve", "--settings", p.settings)
	p.command.Env = append(os.Environ(), standStillEnv+"="+p.clock)
	p.command.Stdout, p.command.Stderr = p.log, p.log
	if err := p.command.Start(); err != nil {
		return err
	}
	exited, command := make(chan struct{}), p.command
	p.exited = exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// end sends a signal to the process, which this deployment has started.
func (p *process) end(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.command.Process.Signal(signal)
}

// ready waits until every daemon is ready, or a minute has passed.
func (d *deployment) ready() bool {
	return d.eventually(func(p *process) bool { return read("http://"+p.ip+":8081/readyz") != "" })
}

// eventually waits until something holds for every daemon, or a minute has passed.
func (d *deployment) eventually(holds func(p *process) bool) bool {
	for try := 0; try < 600; try++ {
		if !slices.ContainsFunc(d.daemons, func(p *process) bool { return !holds(p) }) {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

var statusClient = &http.Client{Timeout: time.Second}

// read returns the body of an answer with status 200, and its status line where that is empty, or nothing.
func read(url string) string {
	resp, err := statusClient.Get(url)
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return ""
	}
	return cmp.Or(string(body), resp.Status)
}
