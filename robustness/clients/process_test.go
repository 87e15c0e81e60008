package clients

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// bounds are what the VM of a daemon has.
type bounds struct {
	// memoryMB is in units of 1e6 bytes.
	memoryMB    int
	descriptors int
}

// process is a daemon under test.
type process struct {
	*qt.C
	bounds
	ip     string
	number int
	exited chan struct{}
	log    *bytes.Buffer
}

// startProcess starts a daemon with the given settings. Its descriptors are limited as its VM's are.
func startProcess(t *testing.T, ip, settings string, b bounds) *process {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	c.Assert(os.WriteFile(path, []byte(settings), 0o600), qt.IsNil)
	command := exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s serve --settings %s", b.descriptors, program, path))
	p := &process{C: c, bounds: b, ip: ip, exited: make(chan struct{}), log: &bytes.Buffer{}}
	command.Stdout, command.Stderr = p.log, p.log
	c.Assert(command.Start(), qt.IsNil)
	p.number = command.Process.Pid
	go func() {
		_ = command.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGKILL)
		<-p.exited
		if t.Failed() {
			t.Logf("daemon's log:\n%s", lastLines(p.log.String(), 40))
		}
	})
	return p
}

func lastLines(text string, n int) string {
	lines := strings.Split(text, "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}

func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// peakMemory returns the most memory that the process has had, in bytes.
func (p *process) peakMemory() int64 {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", p.number))
	p.Assert(err, qt.IsNil)
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if fields := strings.Fields(lines.Text()); len(fields) == 3 && fields[0] == "VmHWM:" {
			kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
			p.Assert(err, qt.IsNil)
			return kilobytes << 10
		}
	}
	p.Fatalf("no VmHWM in the status of process %d", p.number)
	return 0
}

func (p *process) openDescriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.number))
	p.Assert(err, qt.IsNil)
	return len(entries)
}

// unreadBytes returns the bytes that the kernel has received for the process and that it has not read.
func (p *process) unreadBytes() (total int64) {
	local := hexAddress(p.ip)
	file, err := os.Open("/proc/net/tcp")
	p.Assert(err, qt.IsNil)
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		// The fields are a number, the local address, the remote address, the state, and the queues.
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local+":") || fields[3] == listening {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseInt(received, 16, 64)
		p.Assert(err, qt.IsNil)
		total += n
	}
	return total
}

// listening is the state of a listening socket in /proc/net/tcp.
const listening = "0A"

// hexAddress returns an IPv4 address as /proc/net/tcp has it.
func hexAddress(ip string) string {
	var out string
	for _, part := range strings.Split(ip, ".") {
		n, _ := strconv.Atoi(part)
		out = fmt.Sprintf("%02X", n) + out
	}
	return out
}

// check checks that the process lives within its bounds.
func (p *process) check(when string) {
	p.Helper()
	p.Assert(p.alive(), qt.IsTrue, qt.Commentf("%s: the daemon has ended", when))
	memory := p.peakMemory() + p.unreadBytes()
	descriptors := p.openDescriptors()
	p.Logf("%s: %d MB, %d descriptors", when, memory/1e6, descriptors)
	p.Check(memory < int64(p.memoryMB)*1e6, qt.IsTrue, qt.Commentf("%s: %d MB of %d", when, memory/1e6, p.memoryMB))
	p.Check(descriptors < p.descriptors, qt.IsTrue, qt.Commentf("%s: %d descriptors of %d", when, descriptors, p.descriptors))
}

// eventually waits until something holds, or a minute has passed.
func eventually(holds func() bool) bool {
	for range 600 {
		if holds() {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// stop tells the process to shut down.
func (p *process) stop() { _ = syscall.Kill(p.number, syscall.SIGTERM) }
