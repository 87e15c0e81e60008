// Package streamversion assigns the resumable streams of a service to the software versions of its
// backend servers. What servers of two versions write does not fit together, so a stream that broke
// may be resumed only at the version that began it, also by a daemon that knows nothing else of it.
//
// Streams hash to buckets by their ID, and each bucket has a version. The assignment of buckets is
// kept in the store. It changes in steps, each of which is known to all daemons before the next one,
// and it names the versions at which living streams of a bucket may have begun. If there are several,
// the version of a stream is unknown. The package does no I/O, and callers pass in the current time.
package streamversion

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// BucketCount is the number of buckets of a service. One bucket is less than a hundredth of the
// streams.
const BucketCount = 128

// Errors for streams whose version is not known.
var (
	// ErrNotLoaded means that the assignment has not been read since the start.
	ErrNotLoaded = errors.New("versions of streams are not known yet")
	// ErrUnassigned means that the streams of the service have not been assigned yet.
	ErrUnassigned = errors.New("streams of the service are not assigned to versions yet")
	// ErrUnconfirmed means that other daemons may use a newer assignment.
	ErrUnconfirmed = errors.New("assignment of streams to versions may be outdated here")
	// ErrAmbiguous means that the stream may have begun at several versions.
	ErrAmbiguous = errors.New("version that began the stream is not known")
)

// Assignment assigns the streams of all services. It is immutable once it is shared between
// goroutines.
type Assignment struct {
	// Serial rises with each change. Of two assignments, the one with the higher serial is in force.
	Serial   int64              `json:"serial"`
	Services map[string]Service `json:"services"`
	// FollowsLost is set if an earlier assignment was lost, so that streams of services that are not
	// assigned here may have begun.
	FollowsLost bool `json:"follows_lost,omitempty"`
	// Era is the era of the store as of the write.
	Era int64 `json:"era,omitempty"`
	// Lost is set if the stored assignment is lost and streams may have begun as it said.
	Lost bool `json:"-"`
}

// Service holds the buckets of one service.
type Service struct {
	Buckets []Bucket `json:"buckets"`
}

// Bucket is a part of a service's streams.
type Bucket struct {
	// Version is the version at which the bucket's streams begin.
	Version string `json:"version"`
	// Next is the version that the bucket moves to as soon as all daemons know of it, or empty. Some
	// streams may begin there already.
	Next string `json:"next,omitempty"`
	// Shared is set if streams may begin at Next as well as at Version.
	Shared bool `json:"shared,omitempty"`
	// Earlier holds the other versions at which streams of the bucket have begun lately.
	Earlier []Earlier `json:"earlier,omitempty"`
}

// Earlier is a version at which no more streams of a bucket begin.
type Earlier struct {
	Version string `json:"version"`
	// UntilMs is the wall-clock time, in milliseconds since 1970, after which no stream of the bucket
	// began there. It is zero while some daemons may not know that the bucket has moved.
	UntilMs int64 `json:"until_ms,omitempty"`
	// AnyVersion is set if streams may have begun at any version. Version is empty then.
	AnyVersion bool `json:"any_version,omitempty"`
}

// bucketSalt makes the buckets of streams independent of other uses of their IDs.
const bucketSalt = "stream|"

// BucketOf returns the bucket of a stream by the ID of the request that brought its first event.
func BucketOf(streamID string) int { return KeyOf(streamID).bucket() }

// Draw returns a number in [0, 1) that orders streams as their buckets are ordered.
func Draw(streamID string) float64 { return (float64(BucketOf(streamID)) + 0.5) / BucketCount }

// Bucket returns the bucket of a stream, and false if the service is not assigned.
func (a *Assignment) Bucket(service, streamID string) (Bucket, bool) {
	assigned, found := a.Services[service]
	if !found || len(assigned.Buckets) != BucketCount {
		return Bucket{}, false
	}
	return assigned.Buckets[BucketOf(streamID)], true
}

// Allows reports whether a stream of the bucket may begin at a version.
func (b Bucket) Allows(version string) bool {
	return version == b.Version || (b.Shared && version == b.Next)
}

// MayHaveBegunAt reports whether a stream that began at the given time or later may have begun at a
// version.
func (b Bucket) MayHaveBegunAt(version string, begunAfter time.Time) bool {
	return slices.Contains(b.candidates(begunAfter), version)
}

// Began returns the version at which a stream began that did so at the given time or later.
func (b Bucket) Began(begunAfter time.Time) (string, error) {
	candidates := b.candidates(begunAfter)
	if len(candidates) > 1 {
		return "", ErrAmbiguous
	}
	return candidates[0], nil
}

// anyVersion stands for versions that are not known. No server has this version.
const anyVersion = "\x00any"

// candidates returns the versions at which a stream may have begun at the given time or later.
func (b Bucket) candidates(begunAfter time.Time) []string {
	versions := []string{b.Version}
	if b.Next != "" {
		versions = append(versions, b.Next)
	}
	for _, e := range b.Earlier {
		switch {
		case e.UntilMs != 0 && e.UntilMs < begunAfter.UnixMilli():
		case e.AnyVersion:
			versions = append(versions, anyVersion)
		default:
			versions = append(versions, e.Version)
		}
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}

// Versions returns all versions at which streams of a service may have begun at the given time or
// later.
func (s Service) Versions(begunAfter time.Time) []string {
	var versions []string
	for _, b := range s.Buckets {
		versions = append(versions, b.candidates(begunAfter)...)
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}

// Count is the number of buckets of one version of a service, by whether they are about to move.
type Count struct {
	Service, Version string
	Settled, Moving  int
}

// Counts returns the number of buckets by service and version, for logs and metrics.
func (a *Assignment) Counts() []Count {
	var all []Count
	for _, service := range slices.Sorted(maps.Keys(a.Services)) {
		counts := map[string]Count{}
		for _, b := range a.Services[service].Buckets {
			c := counts[b.Version]
			c.Service, c.Version = service, b.Version
			if b.Next == "" {
				c.Settled++
			} else {
				c.Moving++
			}
			counts[b.Version] = c
		}
		for _, version := range slices.Sorted(maps.Keys(counts)) {
			all = append(all, counts[version])
		}
	}
	return all
}

// Summary returns the counts as text, for logs.
func (a *Assignment) Summary() string {
	var parts []string
	for _, c := range a.Counts() {
		parts = append(parts, fmt.Sprintf("%s/%s=%d+%d", c.Service, c.Version, c.Settled, c.Moving))
	}
	return strings.Join(parts, " ")
}

// clone returns a copy whose buckets can be changed.
func (s Service) clone() Service {
	buckets := slices.Clone(s.Buckets)
	for i := range buckets {
		buckets[i].Earlier = slices.Clone(buckets[i].Earlier)
	}
	return Service{Buckets: buckets}
}
