//go:build review2

package standin2

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/plankridge/plankridge/platform/fake"
)

// maxRun bounds a run. A script may take 120 s.
const maxRun = 110 * time.Second

// scene is one run of a case: a small deployment of real daemons before stand-ins.
type scene struct {
	// trouble is false for the run without the disruption.
	trouble bool
	folder  string
	store   *fake.Store
	cloud   *fake.Cloud

	daemons []*daemon
	cleanup []func()

	mu     sync.Mutex
	began  time.Time
	out    *os.File
	broken int
	// over is set once the result is recorded.
	over bool
}

// errScene ends a case that could not run.
type errScene struct{ error }

// runCase runs a case and returns the exit code of its script.
func runCase(play func(*scene), folder string) (code int) {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	temp, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	s := &scene{trouble: os.Getenv("TROUBLE") != "0", folder: temp, began: time.Now(), out: out, store: fake.NewStore(), cloud: fake.NewCloud()}
	defer func() {
		failed := recover()
		s.endAll()
		_ = os.RemoveAll(temp)
		switch cause, isScene := failed.(errScene); {
		case isScene:
			s.record("the case could not run: %v", cause.error)
			code = exitNotRun
		case failed != nil:
			panic(failed)
		}
		_ = out.Close()
	}()
	s.record("trouble: %v", s.trouble)
	go s.endInTime()
	play(s)
	code = exitHeld
	if s.broken > 0 {
		code = exitBroken
		s.record("RESULT: the rule was broken, %d times", s.broken)
	} else {
		s.record("RESULT: the rule held")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.over = true
	return code
}

// endInTime ends a run that takes too long, with all its processes.
func (s *scene) endInTime() {
	time.Sleep(maxRun)
	s.record("the case could not run: it takes too long")
	s.endAll()
	_ = os.RemoveAll(s.folder)
	os.Exit(exitNotRun)
}

// endAll ends what the case has started, the last first.
func (s *scene) endAll() {
	for i := len(s.cleanup) - 1; i >= 0; i-- {
		s.cleanup[i]()
	}
}

// record writes a line with the time since the start.
func (s *scene) record(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return
	}
	_, _ = fmt.Fprintf(s.out, "%8.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, values...))
}

// breaks records a violation of the rule.
func (s *scene) breaks(format string, values ...any) {
	s.record("BROKEN: "+format, values...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken++
}

// must ends the case if it cannot run.
func (s *scene) must(err error) {
	if err != nil {
		panic(errScene{err})
	}
}

func (s *scene) onEnd(f func()) { s.cleanup = append(s.cleanup, f) }

// serve serves a handler on a free loopback port and returns its address.
func (s *scene) serve(handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	s.must(err)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	s.onEnd(func() { _ = server.Close() })
	return listener.Addr().String()
}

// daemon is one process of the project.
type daemon struct {
	name, zone, ip string
	callers, ready string
	command        *exec.Cmd
	exited         chan struct{}
}

const settingsText = `kind: router
vm:
  id: %[1]s
  zone: %[2]s
  region: thies
  link_mbps: 1000
  cpu_share: 0.4
  memory_mb: 284
  max_descriptors: 4100
listen:
  callers: "%[3]s:%[4]d"
  readiness: "%[3]s:%[5]d"
  peers: "%[3]s:%[6]d"
peers:
  seeds: [%[7]s]
  bootstrap: true
store:
  address: "%[8]s"
cloud:
  address: "%[9]s"
bounds:
  drain: 8s
  lease: 3000ms
  retry_ratio: 0.2
  retry_window: 10s
  retry_extra: 52
  usage_window: 5s
  usage_due: 10s
  quota_window: 8s
  quota_over: 0.1
  quota_slack: 72000
  leaving: 2000ms
`

// zones of the deployment.
var zones = []string{"hall-nord", "hall-sud", "bureau-pesee"}

// startDaemons starts daemons in turn in the three zones. storeOf returns the address of the store for
// each.
func (s *scene) startDaemons(count int, storeOf func(i int) string) {
	cloud := s.serve(s.cloud)
	subnet := freeSubnet(count)
	seeds := fmt.Sprintf(`"127.%d.%d.1:%d"`, subnet[0], subnet[1], peerPort)
	for i := range count {
		d := &daemon{name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], 1+i/len(zones)), zone: zones[i%len(zones)], ip: fmt.Sprintf("127.%d.%d.%d", subnet[0], subnet[1], i+1)}
		d.callers, d.ready = fmt.Sprintf("%s:%d", d.ip, callerPort), fmt.Sprintf("%s:%d", d.ip, readyPort)
		text := fmt.Sprintf(settingsText, d.name, d.zone, d.ip, callerPort, readyPort, peerPort, seeds, storeOf(i), cloud)
		path := filepath.Join(s.folder, d.name+".yaml")
		s.must(os.WriteFile(path, []byte(text), 0o600))
		log, err := os.Create(filepath.Join(s.folder, d.name+".log"))
		s.must(err)
		d.command = exec.Command("target/plankridge", "serve")
		d.command.Env = append(os.Environ(), "PLANKRIDGE_SETTINGS="+path)
		d.command.Stdout, d.command.Stderr = log, log
		s.must(d.command.Start())
		d.exited = make(chan struct{})
		go func() {
			_ = d.command.Wait()
			close(d.exited)
		}()
		s.daemons = append(s.daemons, d)
		s.onEnd(func() {
			_ = d.command.Process.Signal(syscall.SIGCONT)
			_ = d.command.Process.Kill()
			<-d.exited
			_ = log.Close()
			if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
				raw, _ := os.ReadFile(log.Name())
				_ = os.WriteFile(filepath.Join(keep, d.name+".log"), raw, 0o600)
			}
		})
		s.record("daemon %s started in %s, callers at %s", d.name, d.zone, d.callers)
	}
	for _, d := range s.daemons {
		s.must(d.awaitReady())
	}
	s.record("all daemons are ready")
	// Traffic starts 10 s after the machines do on the pages; the daemons know each other by then.
	time.Sleep(4 * time.Second)
}

// Ports of every daemon, each on an address of its own.
const (
	callerPort = 18221
	readyPort  = 18224
	peerPort   = 18229
)

// freeSubnet returns the second and third byte of loopback addresses on which the ports are free.
func freeSubnet(count int) [2]int {
	for {
		subnet := [2]int{64 + rand.IntN(128), rand.IntN(255)}
		free := true
		for i := range count {
			for _, port := range []int{callerPort, readyPort, peerPort} {
				l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:%d", subnet[0], subnet[1], i+1, port))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return subnet
		}
	}
}

var errNotReady = errors.New("a daemon is not ready after 30 s")

func (d *daemon) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + d.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errNotReady
}

// signal sends a signal to the daemon's process.
func (s *scene) signal(d *daemon, signal syscall.Signal) {
	s.record("%v is sent to %s", signal, d.name)
	s.must(d.command.Process.Signal(signal))
}

// requestID returns a new request ID.
func requestID() string {
	var raw [8]byte
	binary.BigEndian.PutUint64(raw[:], rand.Uint64())
	return fmt.Sprintf("%x", raw)
}
