package robustness

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/vmlist"
)

// TestAnswersHoldTokensOfOneVersion guards against answers that go on at a server of another software
// version when their server leaves or their daemon dies.
func TestAnswersHoldTokensOfOneVersion(t *testing.T) {
	for name, trouble := range map[string]func(b *bed){
		"servers are lost": loseServers,
		"servers are lost as a daemon shuts down": func(b *bed) {
			time.Sleep(7 * time.Second)
			b.d.Nodes[0].Drain()
			loseServers(b)
		},
		"servers are lost as a daemon dies": func(b *bed) {
			time.Sleep(7 * time.Second)
			b.d.Nodes[1].Kill()
			loseServers(b)
		},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, "ndiaye", func(b *bed) {
				b.d.StandIns.Fleet.SetVersions(versionByNumber)
				time.Sleep(3 * time.Second)
				b.replayDay("ndiaye-day", func() { trouble(b) })
				joined, answers := b.countJoined()
				b.Logf("%d of %d answers hold tokens of two versions", joined, answers)
				b.Check(answers > 0, qt.IsTrue)
				b.Check(joined, qt.Equals, 0)
			})
		})
	}
}

// loseServers kills four servers, one after the other, and spares the last one of each service.
func loseServers(b *bed) {
	left := map[string]int{}
	members := b.d.StandIns.Fleet.Members()
	for _, vm := range members {
		left[vm.Service]++
	}
	killed := 0
	for _, vm := range members {
		if vm.Role != vmlist.RoleBackend || killed == 4 || left[vm.Service] == 1 {
			continue
		}
		killed++
		left[vm.Service]--
		time.Sleep(1500 * time.Millisecond)
		b.d.StandIns.Fleet.Kill(vm.ID)
	}
	b.Check(killed, qt.Equals, 4)
}

// versionByNumber gives servers with an odd and an even last digit different versions.
func versionByNumber(vm vmlist.VM) string {
	if strings.HasSuffix(vm.ID, "1") || strings.HasSuffix(vm.ID, "3") || strings.HasSuffix(vm.ID, "5") || strings.HasSuffix(vm.ID, "7") || strings.HasSuffix(vm.ID, "9") {
		return "v1"
	}
	return "v2"
}

// countJoined returns the number of answers with tokens of two versions, and of all answers.
func (b *bed) countJoined() (joined, answers int) {
	versions := map[string]map[string]bool{}
	for id, engine := range b.d.StandIns.EnginesByVM() {
		for request := range engine.Produced() {
			if versions[request] == nil {
				versions[request] = map[string]bool{}
			}
			versions[request][versionByNumber(vmlist.VM{ID: id})] = true
		}
	}
	for _, of := range versions {
		if len(of) > 1 {
			joined++
		}
	}
	return joined, len(versions)
}
