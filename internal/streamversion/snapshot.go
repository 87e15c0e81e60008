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
	var keys []begunKey
	for key, s := range b.streams {
		if s.other == "" && of[key.service][key.stream.bucket()] {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(x, y begunKey) int {
		return cmp.Or(b.streams[y].at.Compare(b.streams[x].at), cmp.Compare(x.stream, y.stream), cmp.Compare(x.service, y.service))
	})
	return b.group(keys[:min(len(keys), maxSnapshot)])
}

// group returns streams by service and version. The caller holds the lock.
func (b *Begun) group(keys []begunKey) (reports []Report) {
	index := map[[2]string]int{}
	for _, key := range keys {
		version := b.streams[key].version
		group := [2]string{key.service, version}
		i, found := index[group]
		if !found {
			i = len(reports)
			index[group] = i
			reports = append(reports, Report{Service: key.service, Version: version})
		}
		reports[i].Streams = append(reports[i].Streams, key.stream)
	}
	return reports
}
