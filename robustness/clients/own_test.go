package clients

import (
	"fmt"
	"net"
	"os/exec"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/examples"
	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/dev"
	"github.com/plankridge/plankridge/internal/vmlist"
)

const ownSettings = `daemon: {id: %s, zone: %s}
listen: {callers: "%s:8080", peers: "%s:9080", operators: "%s:7080"}
platform: {objects: "%s", vms: "%s", cloud: "%s"}
peers: {plaintext: true}
limits: {memory_mb: %d, max_descriptors: %d}
`

// ownBodyBytes is the default limit on bodies of the own interface.
const ownBodyBytes = 8 << 20

// ownSmall is small for the larger limits of the own interface.
var ownSmall = bounds{memoryMB: 144, descriptors: 2000}

// ownDaemon is a daemon with the own interface.
type ownDaemon struct{ *process }

func startOwnDaemon(t *testing.T, b bounds) *ownDaemon {
	c := qt.New(t)
	sample, err := examples.Files("ndiaye")
	c.Assert(err, qt.IsNil)
	wanted, err := config.Load(sample)
	c.Assert(err, qt.IsNil)
	standIns, err := dev.StartStandIns(wanted, dev.Options{Hosts: dev.Loopback{}})
	c.Assert(err, qt.IsNil)
	t.Cleanup(standIns.Close)
	ip, zone := nextIP(), wanted.Zones[0].Name
	settings := fmt.Sprintf(ownSettings, "entry-1", zone, ip, ip, ip, standIns.ObjectsURL, standIns.VMsURL, standIns.CloudURL, b.memoryMB, b.descriptors)
	d := &ownDaemon{startProcess(t, ip, settings, b)}
	standIns.Fleet.Add(vmlist.VM{ID: "entry-1", Zone: zone, Role: vmlist.RoleEntry, Address: ip + ":9080", OperatorAddress: ip + ":7080"}, nil)
	var out []byte
	c.Assert(eventually(func() bool {
		out, err = exec.Command(program, "apply", "-f", "../../examples/ndiaye", "--url", "http://"+ip+":7080", "--wait").CombinedOutput()
		return err == nil
	}), qt.IsTrue, qt.Commentf("%s", out))
	c.Assert(d.ordinary(), qt.IsNil)
	return d
}

func (d *ownDaemon) callers() string { return d.ip + ":8080" }

// weighing returns a request to the plain service.
func weighing(size int, chunked bool, lines string) request {
	r := post("/services/app-carriere/weighings", size, chunked, "Authorization: Bearer sample-key-of-pesee\r\nContent-Type: text/plain\r\n"+lines)
	return r
}

func (d *ownDaemon) ordinary() error { return d.send(weighing(2, false, "")) }

func (d *ownDaemon) send(r request) error {
	return retry(func() (time.Duration, error) { return try(d.callers(), r.whole()) })
}

func ownCrowd(t *testing.T, b bounds, size int, send form, lone *request) {
	t.Helper()
	d := startOwnDaemon(t, b)
	var serveLone func() error
	if lone != nil {
		serveLone = func() error { return d.send(*lone) }
	}
	d.endure(d.callers(), size, send, d.ordinary, serveLone)
}

func TestOwnInterfaceHeadsOfManyLines(t *testing.T) {
	r := weighing(2, false, headOfLines(60_000, shortLine))
	ownCrowd(t, ownSmall, 200, writing(r.unfinished()), &r)
}

func TestOwnInterfaceUnfinishedHeads(t *testing.T) {
	r := weighing(2, false, headOfLines(60_000, shortLine))
	ownCrowd(t, ownSmall, 200, writing(r.head), &r)
}

func TestOwnInterfaceUnfinishedBodies(t *testing.T) {
	r := weighing(ownBodyBytes, false, "")
	ownCrowd(t, ownSmall, 40, writing(r.unfinished()), &r)
}

func TestOwnInterfaceUnfinishedBodiesInChunks(t *testing.T) {
	r := weighing(ownBodyBytes, true, "")
	ownCrowd(t, ownSmall, 40, writing(r.whole()[:len(r.whole())-5]), &r)
}

func TestOwnInterfaceWholeBodies(t *testing.T) {
	r := weighing(ownBodyBytes, false, "")
	ownCrowd(t, ownSmall, 40, writing(r.whole()), &r)
}

func TestOwnInterfaceRequestsAByteShort(t *testing.T) {
	r := weighing(2, false, "")
	ownCrowd(t, narrow, 600, writing(r.unfinished()), &r)
}

func TestOwnInterfaceSilentConnections(t *testing.T) { ownCrowd(t, narrow, 600, writing(nil), nil) }

// operatorsCrowd plays a crowd at the listener for operators.
func operatorsCrowd(t *testing.T, b bounds, size int, send form) {
	t.Helper()
	d := startOwnDaemon(t, b)
	ordinary := func() error {
		if err := getEventually("http://" + d.ip + ":7080/v1/status"); err != nil {
			return err
		}
		return d.ordinary()
	}
	d.endure(d.ip+":7080", size, send, ordinary, nil)
}

func applying(body string) []byte {
	return []byte("POST /v1/apply HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: 1000000000\r\n\r\n" + body)
}

func TestOperatorsHeadsOverTheLimit(t *testing.T) {
	operatorsCrowd(t, ownSmall, 40, writing([]byte("GET /v1/status HTTP/1.1\r\nHost: x\r\n"+headOfLines(920_000, shortLine))))
}

func TestOperatorsBodiesWithoutEnd(t *testing.T) {
	operatorsCrowd(t, ownSmall, 10, repeating(applying(`{"apply_id": "`), []byte(strings.Repeat("x", 1000)), 32<<20))
}

func TestOperatorsUnfinishedBodies(t *testing.T) {
	operatorsCrowd(t, narrow, 600, writing(applying(`{"apply_id": "`)))
}

// ownPeersCrowd plays a crowd at the listener for peers of the own interface.
func ownPeersCrowd(t *testing.T, b bounds, size int, send form) {
	t.Helper()
	d := startOwnDaemon(t, b)
	d.endure(d.ip+":9080", size, send, d.ordinary, nil)
}

const methodHeartbeat = "/plankridge.peer.v1.Peer/Heartbeat"

func TestOwnInterfaceSilentConnectionsOfPeers(t *testing.T) {
	ownPeersCrowd(t, narrow, 600, writing(nil))
}

func TestOwnInterfaceHeadersWithoutEndOfPeers(t *testing.T) {
	ownPeersCrowd(t, ownSmall, 20, func(conn net.Conn, _ int) { newHTTP2(conn).headersWithoutEnd(12 << 20) })
}

func TestOwnInterfaceManyStreamsOfPeers(t *testing.T) {
	ownPeersCrowd(t, ownSmall, 10, func(conn net.Conn, _ int) { newHTTP2(conn).openStreams(methodHeartbeat, 4000) })
}

func TestOwnInterfaceUnfinishedMessagesOfPeers(t *testing.T) {
	ownPeersCrowd(t, ownSmall, 10, func(conn net.Conn, _ int) {
		newHTTP2(conn).unfinishedMessages(methodHeartbeat, 20, 30<<20)
	})
}
