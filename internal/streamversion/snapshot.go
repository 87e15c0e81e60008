package streamversion

import (
	"cmp"
	"slices"
	"time"
)

// maxSnapshot bounds the streams in a snapshot to 8 KB.
const maxSnapshot = 1024

// Snapshot returns the streams of the given buckets from which daemons start after all of them have
// stopped. If there are too many, those that began first are left out.
func (b *Begun) Snapshot(of Buckets, now time.Time) []Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prune(now)
	if len(of) == 0 {
		return nil
	}
	var keys []Key
	for key, s := range b.streams {
		if of[s.service][key.bucket()] {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(x, y Key) int {
		return cmp.Or(b.streams[y].at.Compare(b.streams[x].at), cmp.Compare(x, y))
	})
	return b.group(keys[:min(len(keys), maxSnapshot)])
}

// group returns streams by service and version. The caller holds the lock.
func (b *Begun) group(keys []Key) (reports []Report) {
	index := map[[2]string]int{}
	for _, key := range keys {
		s := b.streams[key]
		group := [2]string{s.service, s.version}
		i, found := index[group]
		if !found {
			i = len(reports)
			index[group] = i
			reports = append(reports, Report{Service: s.service, Version: s.version})
		}
		reports[i].Streams = append(reports[i].Streams, key)
	}
	return reports
}
