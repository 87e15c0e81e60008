package router

import (
	"encoding/binary"
	"time"

	"github.com/plankridge/plankridge/internal/lease"
	"github.com/plankridge/plankridge/internal/streamversion"
)

// keyBytes is the size of a stream's key.
const keyBytes = 8

// snapshot returns the streams whose version only reports tell, for daemons that start after all have
// stopped.
func (s *streamVersions) snapshot(now time.Time) (packed []lease.BegunStreams) {
	a := s.get()
	if a == nil {
		return nil
	}
	for _, r := range s.begun.Snapshot(a.UndeterminedBuckets(now), now) {
		begun := lease.BegunStreams{Service: r.Service, Version: r.Version, Streams: make([]byte, 0, keyBytes*len(r.Streams))}
		for _, key := range r.Streams {
			begun.Streams = binary.BigEndian.AppendUint64(begun.Streams, uint64(key))
		}
		packed = append(packed, begun)
	}
	return packed
}

// restore adds the streams of a snapshot. Each daemon that starts reads it, so they are not passed on.
func (s *streamVersions) restore(packed []lease.BegunStreams, now time.Time) {
	var reports []streamversion.Report
	for _, begun := range packed {
		r := streamversion.Report{Service: begun.Service, Version: begun.Version}
		for keys := begun.Streams; len(keys) >= keyBytes; keys = keys[keyBytes:] {
			r.Streams = append(r.Streams, streamversion.Key(binary.BigEndian.Uint64(keys)))
		}
		reports = append(reports, r)
	}
	s.begun.Merge(reports, false, now)
}
