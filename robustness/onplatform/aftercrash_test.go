package onplatform

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// crashAt is when all daemons die first, from the begin of the play, and crashGap the time until
	// they die again.
	crashAt  = 4 * time.Second
	crashGap = 3 * time.Second
	// retryLow and retrySpread bound the pause of a caller between two tries.
	retryLow    = 150 * time.Millisecond
	retrySpread = 300 * time.Millisecond
)

// habit is how callers wait.
type habit struct {
	// wait is how long a caller tries, by the draw of a number in [0, 1).
	wait func(draw float64) time.Duration
	// state returns the time limit that a try states, from the time since the first try and the wait.
	state func(since, wait time.Duration) time.Duration
}

// crashPlay is a play in which all daemons die twice.
type crashPlay struct {
	habit habit
	// before and whileDown change the servers before the first death and while all daemons are down.
	before, whileDown func(s *streamsBed)
	// sideBySide is set if servers of both versions serve from the start.
	sideBySide bool
	// restart starts the daemons that have died, in place of all at once.
	restart func(s *streamsBed)
	// newBeginAtOnce is set if new streams may not be refused, and resumes if half of the streams that are
	// taken up have to go on.
	newBeginAtOnce, resumes bool
}

func equalShares(draw float64) time.Duration {
	if draw < 0.5 {
		return 8 * time.Second
	}
	return 5 * time.Second
}

func oneInFour(draw float64) time.Duration {
	if draw < 0.25 {
		return 8 * time.Second
	}
	return 5 * time.Second
}

func always(wait time.Duration) func(float64) time.Duration {
	return func(float64) time.Duration { return wait }
}

func stateRest(since, wait time.Duration) time.Duration { return wait - since }

func stateFixed(time.Duration, time.Duration) time.Duration { return 3 * time.Second }

// habits are those of callers by name. The route's timeout is 8 s.
var habits = map[string]habit{
	"8 s and 5 s, equal shares":       {wait: equalShares, state: stateRest},
	"8 s for one in four, else 5 s":   {wait: oneInFour, state: stateRest},
	"longer than the route's timeout": {wait: always(20 * time.Second), state: stateRest},
	"the same limit in each try":      {wait: always(20 * time.Second), state: stateFixed},
}

func (p crashPlay) run(t *testing.T) {
	t.Parallel()
	for seed := range uint64(*versionSeeds) {
		p.runSeed(t, *versionFirst+seed)
	}
}

func (p crashPlay) runSeed(t *testing.T, seed uint64) {
	s := &streamsBed{
		seed: seed, servers: map[string][]*versionedServer{},
		leavingBed: &leavingBed{random: rand.New(rand.NewPCG(seed, 49)), luck: rand.New(rand.NewPCG(seed, 50)), touched: map[int][]time.Time{}},
	}
	runAlone(t, 6, func(b *bed) {
		s.bed = b
		b.places = map[string]string{}
		b.withoutRollOuts = true
		b.store.SetPageSize(500)
		for range serversPerVersion {
			s.addBreaking("v1", 0)
			if p.sideBySide {
				s.addBreaking("v2", 0)
			}
		}
		b.configure(routes{streamRoute("/s/", true, 2)})
	}, func(*bed) {
		p.playOut(s)
		refused := s.checkJoined(t)
		s.Check(!p.newBeginAtOnce || refused <= maxRefusedNew, qt.IsTrue, qt.Commentf("seed %d: %d tries that begin a stream refused", seed, refused))
		resumed := s.resumedStreams()
		t.Logf("seed %d: streams taken up whose version serves: %+v", seed, resumed)
		s.Check(!p.resumes || resumed.made < minResumed || resumed.share() >= minResumedRatio, qt.IsTrue, qt.Commentf("seed %d: resumed %+v", seed, resumed))
	})
}

func (p crashPlay) playOut(s *streamsBed) {
	time.Sleep(3 * time.Second)
	for _, d := range s.daemons {
		s.ips = append(s.ips, d.ip)
	}
	var running sync.WaitGroup
	running.Go(func() { p.callers(s) })
	began := time.Now()
	if p.before != nil {
		p.before(s)
	}
	time.Sleep(crashAt - time.Since(began))
	for range 2 {
		died := time.Now()
		for i := range s.ips {
			s.kill(i)
		}
		if p.whileDown != nil {
			p.whileDown(s)
		}
		time.Sleep(600*time.Millisecond + time.Duration(s.luck.IntN(400))*time.Millisecond - time.Since(died))
		if p.restart != nil {
			p.restart(s)
		} else {
			s.startAgain(0, 1, 2, 3, 4, 5)
		}
		time.Sleep(crashGap - time.Since(died))
	}
	running.Wait()
}

// startAgain starts daemons that have died.
func (s *streamsBed) startAgain(daemons ...int) {
	count := len(s.daemons)
	for _, i := range daemons {
		s.daemons[i] = s.startDaemon(i + 1)
		s.daemons = s.daemons[:count]
	}
}

// callers begin streams, with a habit each.
func (p crashPlay) callers(s *streamsBed) {
	random := rand.New(rand.NewPCG(s.seed, 51))
	var calling sync.WaitGroup
	for range outOfStepStreams {
		wait, seed := p.habit.wait(random.Float64()), random.Uint64()
		calling.Go(func() { p.receive(s, wait, rand.New(rand.NewPCG(seed, 52))) })
		time.Sleep(outOfStepGap)
	}
	calling.Wait()
}

// receive receives a stream, at any daemon in each try.
func (p crashPlay) receive(s *streamsBed, wait time.Duration, random *rand.Rand) {
	stream := &callerStream{versions: map[string]bool{}}
	began := time.Now()
	for time.Since(began) < wait {
		limit := p.habit.state(time.Since(began), wait)
		if try := s.tryWith(stream, random.IntN(len(s.ips)), limit, began.Add(wait)); try.status == http.StatusOK && !try.cut {
			break
		}
		time.Sleep(retryLow + time.Duration(random.Int64N(int64(retrySpread))))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams = append(s.streams, stream)
}

// resumedStreams counts the streams that are taken up while two servers of their version serve, and those
// that go on.
func (s *streamsBed) resumedStreams() (resumed streamCounts) {
	for _, stream := range s.streams {
		counts := streamCounts{}
		for _, try := range stream.tries {
			if !try.resumes || try.status == 0 || len(s.ready(try.version, try.sent)) < minVersionServers {
				continue
			}
			counts.made = 1
			if try.fresh > 0 {
				counts.went = 1
			}
		}
		resumed.add(counts)
	}
	return resumed
}

// maxRefusedNew is the number of tries that begin a stream which daemons may refuse while they start.
const maxRefusedNew = 16

// checkJoined counts the streams that hold events of two versions over all tries. It returns the number of
// tries without events that daemons refuse.
func (s *streamsBed) checkJoined(t *testing.T) (refused int) {
	c := qt.New(t)
	joined, whole := 0, 0
	var begun, resumed streamCounts
	reasons := map[string]int{}
	for _, stream := range s.streams {
		if len(stream.versions) > 1 {
			joined++
		}
		if stream.lastEvent >= outOfStepEvents {
			whole++
		}
		for _, try := range stream.tries {
			counts := &begun
			if try.resumes {
				counts = &resumed
			}
			counts.made++
			if try.fresh > 0 {
				counts.went++
			} else {
				reasons[fmt.Sprintf("%d %.70s", try.status, strings.TrimSpace(try.body))]++
			}
			if !try.resumes && try.status >= http.StatusInternalServerError {
				refused++
			}
		}
	}
	t.Logf("seed %d: %d streams, %d whole, %d joined; tries that begin one %+v, that take one up %+v; %v", s.seed, len(s.streams), whole, joined, begun, resumed, reasons)
	c.Check(joined <= maxJoined, qt.IsTrue, qt.Commentf("seed %d: %d of %d streams hold events of two versions", s.seed, joined, len(s.streams)))
	return refused
}

// v2Joins adds the servers of v2 and removes those of v1 at the given times from the begin of the play.
func v2Joins(joins, leaves time.Duration) func(s *streamsBed) {
	return func(s *streamsBed) {
		time.Sleep(joins)
		for range serversPerVersion {
			s.addBreaking("v2", 0)
		}
		if leaves > 0 {
			time.Sleep(leaves - joins)
			removeV1(s)
		}
	}
}

// crashPlays are plays by what happens to the versions.
var crashPlays = map[string]crashPlay{
	"versions side by side":          {sideBySide: true},
	"v2 just came":                   {before: v2Joins(2*time.Second, 0)},
	"v1 just gone":                   {before: v2Joins(2*time.Second, 3500*time.Millisecond)},
	"v1 just gone, v2 came long ago": {sideBySide: true, before: func(s *streamsBed) { time.Sleep(3500 * time.Millisecond); removeV1(s) }},
	"v1 removed while all are down":  {sideBySide: true, whileDown: removeV1},
}

// TestStreamsTakenUpAfterTheDeathOfAllKeepTheirVersion guards against the age of a stream that is
// inferred from the time limit of its caller, and against take-ups that are refused for lack of reports.
func TestStreamsTakenUpAfterTheDeathOfAllKeepTheirVersion(t *testing.T) {
	for versions, p := range crashPlays {
		for waits, h := range habits {
			p.habit, p.resumes = h, true
			t.Run(versions+", "+waits, p.run)
		}
	}
}

// oneByOne starts the daemons again, one every second.
func oneByOne(s *streamsBed) {
	for i := range s.ips {
		s.startAgain(i)
		time.Sleep(time.Second)
	}
}

// inHalves starts the daemons again in two halves that do not reach each other for some seconds.
func inHalves(s *streamsBed) {
	half := halfOfTheDaemons(s)
	s.betweenHalves(half, s.net.Cut)
	s.startAgain(0, 1, 2, 3, 4, 5)
	time.Sleep(4 * time.Second)
	s.betweenHalves(half, s.net.Heal)
}

// firstHalfLater starts the first daemons by name later than the others, which do not reach them at first.
func firstHalfLater(s *streamsBed) {
	half := halfOfTheDaemons(s)
	s.betweenHalves(half, s.net.Cut)
	s.startAgain(half...)
	time.Sleep(2 * time.Second)
	s.startAgain(0, 1, 2)
	time.Sleep(3 * time.Second)
	s.betweenHalves(half, s.net.Heal)
}

// betweenHalves changes the links between one half of the daemons and the other one.
func (s *streamsBed) betweenHalves(half []int, change func(from, to string)) {
	for _, i := range half {
		for j := range len(s.ips) - len(half) {
			change(s.ips[i], s.ips[j])
		}
	}
}

// TestStreamsKeepTheirVersionWhereDaemonsComeBackApart guards against buckets that a daemon moves which
// has just started and takes those that it knows for all daemons.
func TestStreamsKeepTheirVersionWhereDaemonsComeBackApart(t *testing.T) {
	for order, restart := range map[string]func(s *streamsBed){"one by one": oneByOne, "in halves": inHalves, "first half later": firstHalfLater} {
		for versions, p := range map[string]crashPlay{
			"v2 just came":                  crashPlays["v2 just came"],
			"v1 just gone":                  crashPlays["v1 just gone"],
			"v1 removed while all are down": crashPlays["v1 removed while all are down"],
			"v2 comes while all are down":   {whileDown: addV2Once},
		} {
			p.restart, p.habit = restart, habits["longer than the route's timeout"]
			t.Run(order+", "+versions, p.run)
		}
	}
}

// addV2Once adds the servers of v2, unless they have been added.
func addV2Once(s *streamsBed) {
	if len(s.ready("v2", time.Now())) == 0 {
		v2Joins(0, 0)(s)
	}
}

const (
	assignmentKind = "plankridge-stream-versions"
	assignmentName = "assignment"
)

// storedAssignment returns the assignment of streams to versions in the store.
func (s *streamsBed) storedAssignment() map[string]any {
	stored := map[string]any{}
	s.decode(s.store.Object(assignmentKind, assignmentName), &stored)
	return stored
}

// changeBuckets changes the buckets of the model service in the store.
func changeBuckets(change func(buckets []any) []any) func(s *streamsBed) {
	return func(s *streamsBed) {
		stored := s.storedAssignment()
		services, _ := stored["services"].(map[string]any)
		if service, assigned := services[model].(map[string]any); assigned {
			service["buckets"] = change(service["buckets"].([]any))
			s.store.Put(assignmentKind, assignmentName, stored)
		}
	}
}

// emptyVersions makes the version of every second bucket empty.
func emptyVersions(buckets []any) []any {
	for i := 0; i < len(buckets); i += 2 {
		buckets[i] = map[string]any{"version": ""}
	}
	return buckets
}

// fewBuckets returns some of the buckets.
func fewBuckets(buckets []any) []any { return buckets[:len(buckets)/2] }

// withSerial writes the assignment again with another serial and without earlier versions.
func withSerial(serial int64) func(s *streamsBed) {
	return func(s *streamsBed) {
		changeBuckets(func(buckets []any) []any {
			for i := range buckets {
				buckets[i] = map[string]any{"version": "v1"}
			}
			return buckets
		})(s)
		stored := s.storedAssignment()
		stored["serial"] = serial
		s.store.Put(assignmentKind, assignmentName, stored)
	}
}

// lostAssignments are ways in which the stored assignment is lost, by name.
var lostAssignments = map[string]func(s *streamsBed){
	"removed":         func(s *streamsBed) { s.store.Remove(assignmentKind, assignmentName) },
	"no JSON":         func(s *streamsBed) { s.store.PutRaw(assignmentKind, assignmentName, `{"serial": 3, "serv`) },
	"empty":           func(s *streamsBed) { s.store.Put(assignmentKind, assignmentName, map[string]any{}) },
	"buckets missing": changeBuckets(fewBuckets),
	"empty versions":  changeBuckets(emptyVersions),
	"negative serial": withSerial(-7),
	"serial too high": withSerial(1<<62 - 1),
	"from a copy":     goBackToV1,
}

// goBackToV1 lets the store go back to an assignment of all streams to v1. The servers are listed again.
func goBackToV1(s *streamsBed) {
	s.store.GoBack(s.copied)
	for _, servers := range s.servers {
		for _, server := range servers {
			if server.drains.IsZero() {
				s.listEngine(server, "ready")
			} else {
				s.store.Remove("servers", server.ID)
			}
		}
	}
}

// TestStreamsOfALostAssignmentKeepTheirVersion guards against take-ups as a new assignment says of streams
// that began as a lost one said, and against new streams that wait.
func TestStreamsOfALostAssignmentKeepTheirVersion(t *testing.T) {
	for name, lose := range lostAssignments {
		for versions, leaves := range map[string]time.Duration{"v2 came": 0, "v1 just gone": 3500 * time.Millisecond} {
			p := crashPlay{
				habit: habits["8 s and 5 s, equal shares"], whileDown: lose, newBeginAtOnce: true,
				before: func(s *streamsBed) {
					s.copied = s.store.Copy()
					v2Joins(500*time.Millisecond, leaves)(s)
				},
			}
			t.Run(name+", "+versions, p.run)
		}
	}
}
