package streamversion

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// stored returns an encoded assignment of all streams of the service llm to v1 after a change.
func stored(c *qt.C, change func(a *Assignment)) []byte {
	a := &Assignment{Serial: 3, Services: map[string]Service{"llm": {Buckets: make([]Bucket, BucketCount)}}}
	for i := range a.Services["llm"].Buckets {
		a.Services["llm"].Buckets[i].Version = "v1"
	}
	change(a)
	raw, err := json.Marshal(a)
	c.Assert(err, qt.IsNil)
	return raw
}

// TestOddAssignmentIsNotDecoded guards against streams that are assigned as entries of other writers say.
func TestOddAssignmentIsNotDecoded(t *testing.T) {
	c := qt.New(t)
	for name, change := range map[string]func(a *Assignment){
		"buckets missing":       func(a *Assignment) { a.Services["llm"] = Service{Buckets: a.Services["llm"].Buckets[:100]} },
		"no buckets":            func(a *Assignment) { a.Services["llm"] = Service{} },
		"a bucket of no server": func(a *Assignment) { a.Services["llm"].Buckets[7].Version = "" },
		"serial negative":       func(a *Assignment) { a.Serial = -1 },
		"serial zero":           func(a *Assignment) { a.Serial = 0 },
		"serial too high":       func(a *Assignment) { a.Serial = math.MaxInt64 },
	} {
		_, err := DecodeStored(stored(c, change))
		c.Check(err, qt.IsNotNil, qt.Commentf("%s", name))
	}
	for _, raw := range []string{"", "3", "null", `{"serial":`, `{"serial": "3"}`} {
		_, err := DecodeStored([]byte(raw))
		c.Check(err, qt.IsNotNil, qt.Commentf("%s", raw))
	}
	a, err := DecodeStored(stored(c, func(*Assignment) {}))
	c.Assert(err, qt.IsNil)
	c.Check(a.Serial, qt.Equals, int64(3))
}

// TestStreamsOfALostAssignmentMayHaveBegunAnywhere guards against take-ups as a new assignment says of
// streams that began before it, and against streams that are refused for ever.
func TestStreamsOfALostAssignmentMayHaveBegunAnywhere(t *testing.T) {
	c := qt.New(t)
	for _, version := range []string{"", "v1"} {
		now := time.Unix(1_000_000_000, 0)
		demands := map[string]Demand{"llm": {Capacity: map[string]Capacity{version: {Slots: 8}}}}
		a, changed := (&Assignment{Lost: true}).Plan(demands, Spreading, now)
		c.Assert(changed, qt.IsTrue)
		c.Check(a.Serial, qt.Equals, now.Unix())
		bucket, found := a.Bucket("llm", "stream")
		c.Assert(found, qt.IsTrue)
		c.Check(bucket.Allows(version), qt.IsTrue)
		_, err := bucket.Began(now)
		c.Check(err, qt.ErrorIs, ErrAmbiguous)

		now = now.Add(time.Second)
		a, changed = a.Plan(demands, AdoptedByAll, now)
		c.Assert(changed, qt.IsTrue)
		bucket, _ = a.Bucket("llm", "stream")
		_, err = bucket.Began(now.Add(beginDelay))
		c.Check(err, qt.ErrorIs, ErrAmbiguous)
		got, err := bucket.Began(now.Add(beginDelay + time.Second))
		c.Assert(err, qt.IsNil)
		c.Check(got, qt.Equals, version)

		a, changed = a.Plan(demands, AdoptedByAll, now.Add(earlierRetention+time.Second))
		c.Assert(changed, qt.IsTrue)
		bucket, _ = a.Bucket("llm", "stream")
		c.Check(bucket.Earlier, qt.HasLen, 0)
	}
}
