package robustness

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/examples"
	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/dev"
	"github.com/plankridge/plankridge/internal/replay"
	"github.com/plankridge/plankridge/internal/standin/balancer"
	"github.com/plankridge/plankridge/internal/vmlist"
)

// processes are six daemons as separate processes, each on a loopback address
// of its own, before the stand-ins in the test's process.
type processes struct {
	*qt.C
	binary    string
	standIns  *dev.StandIns
	commands  []*exec.Cmd
	addresses []string
	callers   string
}

const settingsTemplate = `daemon: {id: %s, zone: %s}
listen: {callers: "%s:8080", peers: "%s:9080", operators: "%s:7080"}
platform: {objects: "%s", vms: "%s", cloud: "%s"}
peers: {plaintext: true}
`

func startProcesses(t *testing.T, subnet int) *processes {
	c := qt.New(t)
	p := &processes{C: c, binary: filepath.Join(t.TempDir(), "plankridge")}
	out, err := exec.Command("go", "build", "-o", p.binary, "../cmd/plankridge").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	sample, err := examples.Files("ndiaye")
	c.Assert(err, qt.IsNil)
	wanted, err := config.Load(sample)
	c.Assert(err, qt.IsNil)
	p.standIns, err = dev.StartStandIns(wanted, dev.Options{Hosts: dev.Loopback{}, ListLag: 500 * time.Millisecond})
	c.Assert(err, qt.IsNil)
	t.Cleanup(p.standIns.Close)
	for z, zone := range wanted.Zones {
		for i := range 2 {
			p.startDaemon(t, fmt.Sprintf("%s-entry-%d", zone.Name, i+1), zone.Name, fmt.Sprintf("127.77.%d.%d", subnet, 1+2*z+i))
		}
	}
	p.balance(t)
	return p
}

func (p *processes) startDaemon(t *testing.T, id, zone, ip string) {
	path := filepath.Join(t.TempDir(), id+".yaml")
	settings := fmt.Sprintf(settingsTemplate, id, zone, ip, ip, ip, p.standIns.ObjectsURL, p.standIns.VMsURL, p.standIns.CloudURL)
	p.Assert(os.WriteFile(path, []byte(settings), 0o600), qt.IsNil)
	command := exec.Command(p.binary, "serve", "--settings", path)
	var log bytes.Buffer
	command.Stderr = &log
	p.Assert(command.Start(), qt.IsNil)
	p.commands = append(p.commands, command)
	p.addresses = append(p.addresses, ip)
	p.standIns.Fleet.Add(vmlist.VM{ID: id, Zone: zone, Role: vmlist.RoleEntry, Address: ip + ":9080", OperatorAddress: ip + ":7080"}, nil)
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
		if t.Failed() {
			t.Logf("%s:\n%s", id, log.String())
		}
	})
}

func (p *processes) balance(t *testing.T) {
	var targets []balancer.Target
	for _, ip := range p.addresses {
		targets = append(targets, balancer.Target{Callers: ip + ":8080", Ready: "http://" + ip + ":8080/readyz"})
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	p.Assert(err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go balancer.New(targets).Serve(ctx, listener)
	p.callers = "http://" + listener.Addr().String()
}

// client runs a command of the client and returns its output and exit code.
func (p *processes) client(args ...string) (string, int) {
	command := exec.Command(p.binary, args...)
	out, err := command.CombinedOutput()
	if err == nil {
		return string(out), 0
	}
	var exit *exec.ExitError
	p.Assert(err, qt.ErrorAs, &exit)
	return string(out), exit.ExitCode()
}

func (p *processes) operators(i int) string { return "http://" + p.addresses[i] + ":7080" }

// waitListening returns when every daemon answers operators.
func (p *processes) waitListening() {
	for i := range p.addresses {
		for {
			if _, code := p.client("status", "--url", p.operators(i)); code == 0 {
				break
			}
		}
	}
}

// waitBalanced returns when the balancer has found a daemon ready.
func (p *processes) waitBalanced() {
	for {
		resp, err := http.Get(p.callers + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
}

func TestProcessesApplyServeAndShutDown(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	p := startProcesses(t, 1)
	p.waitListening()
	out, code := p.client("apply", "-f", "../examples/ndiaye", "--url", p.operators(3), "--wait")
	p.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
	out, code = p.client("status", "--url", p.operators(5), "-o", "json")
	p.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
	p.Assert(out, qt.Contains, `"generation": 1`)
	out, code = p.client("apply", "-f", "../examples/ndiaye", "--url", p.operators(1), "--based-on", "0")
	p.Assert(code, qt.Equals, 3, qt.Commentf("%s", out))

	p.waitBalanced()
	file, err := os.Open("../testdata/traces/ndiaye-day.jsonl")
	p.Assert(err, qt.IsNil)
	defer func() { _ = file.Close() }()
	trace, err := replay.Read("ndiaye-day", file)
	p.Assert(err, qt.IsNil)
	// The trace says when a daemon is told to stop and when a zone is
	// reclaimed, so that both happen in the middle of its requests.
	half := trace.Entries[len(trace.Entries)/2].At
	const speed = 2
	exits := make(chan error, 1)
	time.AfterFunc(time.Duration(half/speed*float64(time.Second)), func() {
		_ = p.commands[0].Process.Signal(syscall.SIGTERM)
		p.standIns.Fleet.ReclaimZone("hall-sud", vmlist.RoleBackend, 5*time.Second)
		exits <- p.commands[0].Wait()
	})
	summary, err := replay.Run(context.Background(), trace, replay.Options{URL: p.callers, Speed: speed})
	p.Assert(err, qt.IsNil)
	p.Assert(summary.Holds(), qt.IsTrue, qt.Commentf("%+v", summary))
	p.Assert(<-exits, qt.IsNil)
}
