package onplatform

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// outOfStepFor is how long a daemon is out of step, and touchInterval the time between two notes that
	// something happens to it.
	outOfStepFor  = 4 * time.Second
	touchInterval = 500 * time.Millisecond
)

// someOutOfStep lets one daemon after the other be out of step with the others.
func someOutOfStep(times int, begin, end func(l *leavingBed, daemon int), choose func(l *leavingBed) int) func(l *leavingBed) {
	return func(l *leavingBed) {
		time.Sleep(2500 * time.Millisecond)
		for range times {
			i := choose(l)
			begin(l, i)
			for since := time.Now(); time.Since(since) < outOfStepFor; time.Sleep(touchInterval) {
				l.touch(i)
			}
			end(l, i)
			l.touch(i)
			time.Sleep(300 * time.Millisecond)
		}
	}
}

// anyDaemon returns a random daemon, and assigningDaemon the one that writes the assignment of streams.
func anyDaemon(l *leavingBed) int     { return l.luck.IntN(len(l.daemons)) }
func assigningDaemon(*leavingBed) int { return 0 }

// toOthers changes the links of a daemon to the other daemons, and to the store.
func toOthers(change func(l *leavingBed, a, b string), withStore bool) func(l *leavingBed, daemon int) {
	return func(l *leavingBed, daemon int) {
		for i, other := range l.daemons {
			if i != daemon {
				change(l, l.daemons[daemon].ip, other.ip)
			}
		}
		if withStore {
			change(l, l.daemons[daemon].ip, storeIP)
		}
	}
}

// toServers changes the links of a daemon to all servers.
func toServers(change func(l *leavingBed, a, b string)) func(l *leavingBed, daemon int) {
	return func(l *leavingBed, daemon int) {
		for n := range maxServers {
			change(l, l.daemons[daemon].ip, fmt.Sprintf("10.5.0.%d", n+1))
		}
	}
}

// maxServers is more than the number of servers of a play.
const maxServers = 40

func silenceLink(l *leavingBed, a, b string) { l.net.Silence(a, b) }
func speakLink(l *leavingBed, a, b string)   { l.net.Speak(a, b) }
func cutLink(l *leavingBed, a, b string)     { l.net.Cut(a, b) }
func healLink(l *leavingBed, a, b string)    { l.net.Heal(a, b) }

func pauseDaemon(l *leavingBed, daemon int)    { l.net.Pause(l.daemons[daemon].ip) }
func continueDaemon(l *leavingBed, daemon int) { l.net.Continue(l.daemons[daemon].ip) }

// outOfStepTroubles are ways in which daemons are out of step.
var outOfStepTroubles = map[string]func(l *leavingBed){
	"daemons are cut off":                         someOutOfStep(2, toOthers(cutLink, true), toOthers(healLink, true), anyDaemon),
	"daemons are cut off silently":                someOutOfStep(2, toOthers(silenceLink, true), toOthers(speakLink, true), anyDaemon),
	"links to the servers are lost":               someOutOfStep(2, toServers(cutLink), toServers(healLink), anyDaemon),
	"daemons are paused":                          someOutOfStep(2, pauseDaemon, continueDaemon, anyDaemon),
	"the assigning daemon is paused":              someOutOfStep(2, pauseDaemon, continueDaemon, assigningDaemon),
	"the assigning daemon is cut off from others": someOutOfStep(2, toOthers(silenceLink, false), toOthers(speakLink, false), assigningDaemon),
}

// versionJoinsARollOut orders a roll-out and lets a version without an order join beside it.
func versionJoinsARollOut(s *streamsBed) {
	go func() {
		time.Sleep(3 * time.Second)
		for range serversPerVersion {
			s.addVersion("v3")
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(4 * time.Second)
		s.drainVersion("v3", serversPerVersion, 100*time.Millisecond)
	}()
	rollOut(s)
}

// reclaimFor is how long after its notice a reclaimed server is gone, and reclaimGap the time between two.
const (
	reclaimFor = 700 * time.Millisecond
	reclaimGap = 300 * time.Millisecond
)

// reclaim lets a server leave at short notice.
func (s *streamsBed) reclaim(server *versionedServer) {
	s.mu.Lock()
	server.drains = time.Now()
	address := s.serverAddress(server.ID)
	s.mu.Unlock()
	s.store.Put("servers", server.ID, map[string]any{
		"service": model, "address": address, "zone": "zone-1", "version": server.Version, "slots": 64, "state": "draining",
		"coldLeftMs": 0, "seq": 2, "spot": true, "leaves_ms": reclaimFor.Milliseconds(),
	})
	time.Sleep(reclaimFor)
	server.TakeDown()
	ip, _, _ := strings.Cut(address, ":")
	for _, daemon := range s.ips {
		s.net.RefuseNew(daemon, ip)
	}
	s.store.Remove("servers", server.ID)
}

// serversAreReclaimed reclaims servers of all versions, and starts others of the same and of a third one.
func serversAreReclaimed(s *streamsBed) {
	time.Sleep(2 * time.Second)
	var leaving sync.WaitGroup
	for i := range serversPerVersion {
		s.addVersion("v3")
		for _, version := range s.play.versions {
			if i < serversPerVersion-1 {
				s.addVersion(version)
			}
			server := s.ready(version, time.Now())[0]
			leaving.Go(func() { s.reclaim(server) })
			time.Sleep(reclaimGap)
		}
	}
	leaving.Wait()
}

// outOfStepChanges are the changes of versions meanwhile.
var outOfStepChanges = map[string]streamsPlayed{
	"a version is replaced":               {versions: []string{"v1"}, changes: versionIsReplaced},
	"a third version comes":               {versions: twoVersions, changes: thirdVersionComes},
	"a roll-out":                          {versions: []string{"v1"}, rollOuts: true, changes: rollOut},
	"a roll-out that is halted":           {versions: []string{"v1"}, rollOuts: true, badCandidate: true, changes: rollOut},
	"a version joins beside a roll-out":   {versions: []string{"v1"}, rollOuts: true, changes: versionJoinsARollOut},
	"servers are reclaimed":               {versions: twoVersions, moves: true, changes: serversAreReclaimed},
	"one joins beside one that is halted": {versions: []string{"v1"}, rollOuts: true, badCandidate: true, changes: versionJoinsARollOut},
}

// TestStreamsOverVersionsWhileDaemonsAreOutOfStep guards against streams that daemons take up at another
// version after they were paused or cut off, whatever changes the versions meanwhile.
func TestStreamsOverVersionsWhileDaemonsAreOutOfStep(t *testing.T) {
	for change, p := range outOfStepChanges {
		for name, trouble := range outOfStepTroubles {
			p.daemons, p.breaks, p.trouble = 6, 0.5, trouble
			t.Run(change+", "+name, p.run)
		}
	}
}
