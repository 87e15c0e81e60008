package streamversion

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// begunRetention is how long it is remembered at which version a stream began.
	begunRetention = 30 * time.Second
	// maxBegun bounds the remembered streams. The oldest ones are forgotten first.
	maxBegun = 1 << 16
	// reportRepeats is the number of reports that contain a stream. Reports may be lost.
	reportRepeats = 2
	// maxReported bounds the streams in one report to 4 KB.
	maxReported = 512
)

// Key identifies a stream in reports between daemons.
type Key uint64

// KeyOf returns the key of a stream by the ID of the request that brought its first event.
func KeyOf(streamID string) Key { return Key(xxhash.Sum64String(bucketSalt + streamID)) }

// bucket returns the index of the stream's bucket.
func (k Key) bucket() int { return int(k % BucketCount) }

// Begun remembers at which versions streams have begun lately, at this daemon and at the daemons whose
// reports it receives. It tells the version of streams whose bucket moves, unless all that know of
// them have died. It is safe for concurrent use.
type Begun struct {
	mu       sync.Mutex
	streams  map[begunKey]*begunStream
	prunedAt time.Time
	// contradictedAt is when a stream was last found to be stated at two versions.
	contradictedAt time.Time
}

// begunKey identifies a stream by its service too: a caller may name a request of another service.
type begunKey struct {
	service string
	stream  Key
}

type begunStream struct {
	version string
	// other is a second version at which a stream of the same ID is said to have begun, or empty. The
	// version is not known then.
	other string
	at    time.Time
	// forwarded is set if the stream is passed on in reports, from the report of sequence number
	// firstReport on.
	forwarded   bool
	firstReport uint64
}

// NewBegun returns an empty Begun.
func NewBegun() *Begun { return &Begun{streams: map[begunKey]*begunStream{}} }

// Record records that a stream has begun or gone on at this daemon. It returns true if an earlier statement
// contradicts that.
func (b *Begun) Record(service, streamID, version string, now time.Time) (contradicted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := begunKey{service, KeyOf(streamID)}
	b.observe(key, version, true, now)
	s := b.streams[key]
	s.at, s.forwarded, s.firstReport = now, true, 0
	return s.other != ""
}

// Merge adds the streams of a peer's report. forward is set if this daemon passes them on.
func (b *Begun) Merge(reported []Report, forward bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range reported {
		for _, key := range r.Streams {
			b.observe(begunKey{r.Service, key}, r.Version, forward, now)
		}
	}
}

// observe adds what is said of a stream. What contradicts an earlier statement is reported again, as
// daemons that know only one of them would resume the stream. The caller holds the lock.
func (b *Begun) observe(key begunKey, version string, forward bool, now time.Time) {
	s := b.streams[key]
	if s == nil || now.Sub(s.at) >= begunRetention {
		b.add(key, &begunStream{version: version, at: now, forwarded: forward}, now)
		return
	}
	if version != s.version && s.other == "" {
		b.contradictedAt = now
		s.other, s.at, s.firstReport, s.forwarded = version, now, 0, s.forwarded || forward
	}
}

// Version returns the version at which a stream is known to have begun.
func (b *Begun) Version(service, streamID string, now time.Time) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.get(service, streamID, now)
	if s == nil || s.other != "" {
		return "", false
	}
	return s.version, true
}

// Contradicts reports whether a stream is said to have begun at another version than the given one.
func (b *Begun) Contradicts(service, streamID, version string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.get(service, streamID, now)
	return s != nil && (s.version != version || s.other != "")
}

// get returns what is known of a stream, or nil. The caller holds the lock.
func (b *Begun) get(service, streamID string, now time.Time) *begunStream {
	s := b.streams[begunKey{service, KeyOf(streamID)}]
	if s == nil || now.Sub(s.at) >= begunRetention {
		return nil
	}
	return s
}

// Report holds streams that began at one version of a service.
type Report struct {
	Service, Version string
	Streams          []Key
}

// Report returns the streams for the report of a sequence number, which few reports have contained: those
// of the given buckets, and those whose version is stated in two ways.
func (b *Begun) Report(of Buckets, sequence uint64, now time.Time) []Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prune(now)
	if len(of) == 0 && now.Sub(b.contradictedAt) >= begunRetention {
		return nil
	}
	reports, count := map[[2]string]*Report{}, 0
	for key, s := range b.streams {
		if count >= maxReported {
			break
		}
		if !s.forwarded || s.other == "" && !of[key.service][key.stream.bucket()] || s.firstReport != 0 && sequence >= s.firstReport+reportRepeats {
			continue
		}
		if s.firstReport == 0 {
			s.firstReport = sequence
		}
		for _, version := range s.versions() {
			group := [2]string{key.service, version}
			if reports[group] == nil {
				reports[group] = &Report{Service: key.service, Version: version}
			}
			reports[group].Streams = append(reports[group].Streams, key.stream)
			count++
		}
	}
	var all []Report
	for _, r := range reports {
		all = append(all, *r)
	}
	return all
}

// versions returns the versions at which the stream is said to have begun.
func (s *begunStream) versions() []string {
	if s.other != "" {
		return []string{s.version, s.other}
	}
	return []string{s.version}
}

// ReportAgain makes the next reports contain all streams again, as peers may not have received the
// earlier ones.
func (b *Begun) ReportAgain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.streams {
		s.firstReport = 0
	}
}

// Buckets are buckets by service.
type Buckets map[string]map[int]bool

// UndeterminedBuckets returns the buckets whose streams of the last begunRetention have begun at
// several versions.
func (a *Assignment) UndeterminedBuckets(now time.Time) Buckets {
	return a.selectBuckets(func(b Bucket) bool { return len(b.candidates(now.Add(-begunRetention))) > 1 })
}

// AllBuckets returns the buckets of all services.
func (a *Assignment) AllBuckets() Buckets { return a.selectBuckets(func(Bucket) bool { return true }) }

// selectBuckets returns the buckets that pass a check.
func (a *Assignment) selectBuckets(selected func(Bucket) bool) Buckets {
	buckets := Buckets{}
	for service, s := range a.Services {
		for i, b := range s.Buckets {
			if !selected(b) {
				continue
			}
			if buckets[service] == nil {
				buckets[service] = map[int]bool{}
			}
			buckets[service][i] = true
		}
	}
	return buckets
}

// add adds a stream. The caller holds the lock.
func (b *Begun) add(key begunKey, s *begunStream, now time.Time) {
	if len(b.streams) >= maxBegun {
		b.prune(now)
		b.evictOldest()
	}
	b.streams[key] = s
}

// prune forgets streams that began long ago, at most once a second. The caller holds the lock.
func (b *Begun) prune(now time.Time) {
	if now.Sub(b.prunedAt) < time.Second {
		return
	}
	b.prunedAt = now
	maps.DeleteFunc(b.streams, func(_ begunKey, s *begunStream) bool { return now.Sub(s.at) >= begunRetention })
}

// evictOldest forgets the older half of the streams if there are too many. The caller holds the lock.
func (b *Begun) evictOldest() {
	if len(b.streams) < maxBegun {
		return
	}
	keys := slices.SortedFunc(maps.Keys(b.streams), func(x, y begunKey) int {
		return cmp.Compare(b.streams[x].at.UnixNano(), b.streams[y].at.UnixNano())
	})
	for _, key := range keys[:len(keys)/2] {
		delete(b.streams, key)
	}
}
