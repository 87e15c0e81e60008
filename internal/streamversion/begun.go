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
	begunRetention = MaxStreamAge + time.Second
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
	streams  map[Key]*begunStream
	prunedAt time.Time
}

type begunStream struct {
	service, version string
	at               time.Time
	// forwarded is set if the stream is passed on in reports, from the report of sequence number
	// firstReport on.
	forwarded   bool
	firstReport uint64
}

// NewBegun returns an empty Begun.
func NewBegun() *Begun { return &Begun{streams: map[Key]*begunStream{}} }

// Record records that a stream has begun or gone on at this daemon.
func (b *Begun) Record(service, streamID, version string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(KeyOf(streamID), &begunStream{service: service, version: version, at: now, forwarded: true}, now)
}

// Merge adds the streams of a peer's report. forward is set if this daemon passes them on.
func (b *Begun) Merge(reported []Report, forward bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range reported {
		for _, key := range r.Streams {
			if b.streams[key] == nil {
				b.add(key, &begunStream{service: r.Service, version: r.Version, at: now, forwarded: forward}, now)
			}
		}
	}
}

// Version returns the version at which a stream is known to have begun.
func (b *Begun) Version(service, streamID string, now time.Time) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.streams[KeyOf(streamID)]
	if s == nil || s.service != service || now.Sub(s.at) >= begunRetention {
		return "", false
	}
	return s.version, true
}

// Report holds streams that began at one version of a service.
type Report struct {
	Service, Version string
	Streams          []Key
}

// Report returns the streams for the report of a sequence number: those of the given buckets, which
// few reports have contained.
func (b *Begun) Report(of Buckets, sequence uint64, now time.Time) []Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prune(now)
	if len(of) == 0 {
		return nil
	}
	reports, count := map[[2]string]*Report{}, 0
	for key, s := range b.streams {
		if count >= maxReported {
			break
		}
		if !s.forwarded || !of[s.service][key.bucket()] || s.firstReport != 0 && sequence >= s.firstReport+reportRepeats {
			continue
		}
		if s.firstReport == 0 {
			s.firstReport = sequence
		}
		group := [2]string{s.service, s.version}
		if reports[group] == nil {
			reports[group] = &Report{Service: s.service, Version: s.version}
		}
		reports[group].Streams = append(reports[group].Streams, key)
		count++
	}
	var all []Report
	for _, r := range reports {
		all = append(all, *r)
	}
	return all
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
func (b *Begun) add(key Key, s *begunStream, now time.Time) {
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
	maps.DeleteFunc(b.streams, func(_ Key, s *begunStream) bool { return now.Sub(s.at) >= begunRetention })
}

// evictOldest forgets the older half of the streams if there are too many. The caller holds the lock.
func (b *Begun) evictOldest() {
	if len(b.streams) < maxBegun {
		return
	}
	keys := slices.SortedFunc(maps.Keys(b.streams), func(x, y Key) int {
		return cmp.Compare(b.streams[x].at.UnixNano(), b.streams[y].at.UnixNano())
	})
	for _, key := range keys[:len(keys)/2] {
		delete(b.streams, key)
	}
}
