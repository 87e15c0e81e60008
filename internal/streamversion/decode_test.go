package streamversion

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestHugeCapacityDoesNotStopPlanning guards against sums and products of slots that overflow: the planner divided by zero or looped for years.
func TestHugeCapacityDoesNotStopPlanning(t *testing.T) {
	for name, slots := range map[string]map[string]int{
		"one":                  {"v1": math.MaxInt},
		"sum is zero":          {"v1": math.MaxInt, "v2": math.MaxInt, "v3": 2},
		"sum is negative":      {"v1": math.MaxInt, "v2": 6},
		"product is negative":  {"v1": math.MaxInt / 100, "v2": 6},
		"targets are negative": {"v1": 1 << 56, "v2": math.MaxInt, "v3": math.MaxInt - 1<<56 + 8},
		"negative":             {"v1": math.MinInt, "v2": 6},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			a, _ := settled(&Assignment{}, capacity(slots), start)
			assigned := 0
			for version, count := range counts(a) {
				c.Check(slots[version] > 0, qt.IsTrue, qt.Commentf("%s has %d buckets", version, count))
				assigned += count
			}
			c.Check(assigned, qt.Equals, BucketCount)
		})
	}
}

// TestPlanOfAnyCapacity checks that the planner ends and assigns all buckets to versions with servers, whatever the servers state.
func TestPlanOfAnyCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.MapOfN(rapid.StringMatching("v[0-9]"), rapid.OneOf(rapid.Int(), rapid.IntRange(0, 9)), 1, 6).Draw(t, "slots")
		a, changed := (&Assignment{}).Plan(capacity(slots), AdoptedByAll, start)
		if !changed {
			return
		}
		total := 0
		for version, count := range counts(a) {
			if slots[version] <= 0 {
				t.Fatalf("%d buckets of %s, which has no servers", count, version)
			}
			total += count
		}
		if total != BucketCount {
			t.Fatalf("%d buckets", total)
		}
	})
}

// encoded returns the stored form of an assignment, with one text of it replaced.
func encoded(replaced, by string) []byte {
	a, _ := settled(&Assignment{}, capacity(map[string]int{"v1": 6}), start)
	raw, err := json.Marshal(a)
	if err != nil {
		panic(err)
	}
	return []byte(strings.Replace(string(raw), replaced, by, 1))
}

func oddAssignments() map[string][]byte {
	odd := map[string][]byte{
		"negative serial": encoded(`"serial":1`, `"serial":-1`), "too few buckets": encoded(`{"version":"v1"},`, ``),
		"too many buckets": encoded(`{"version":"v1"},`, `{"version":"v1"},{"version":"v1"},`), "no version": encoded(`{"version":"v1"}`, `{}`),
		"negative end": encoded(`{"version":"v1"}`, `{"version":"v1","earlier":[{"version":"v2","until_ms":-1}]}`),
		"empty":        nil, "no fields": []byte(`{}`), "null": []byte(`null`), "list": []byte(`[]`), "text": []byte(`"v1"`), "not JSON": []byte(`{"serial":`),
	}
	for _, serial := range []int64{math.MaxInt64, math.MaxInt64 - 1, maxSerial} {
		odd[fmt.Sprintf("serial %d", serial)] = encoded(`"serial":1`, fmt.Sprintf(`"serial":%d`, serial))
	}
	return odd
}

// TestOddAssignmentIsRefused guards against an assignment of another writer that no later one can replace, or whose buckets are not those of a service.
func TestOddAssignmentIsRefused(t *testing.T) {
	c := qt.New(t)
	for name, raw := range oddAssignments() {
		_, err := DecodeStored(raw)
		c.Check(err, qt.IsNotNil, qt.Commentf("%s", name))
	}
	a, err := DecodeStored(encoded("", ""))
	c.Assert(err, qt.IsNil)
	c.Check(counts(a), qt.DeepEquals, map[string]int{"v1": BucketCount})
}

// TestStreamsFromBeforeALostAssignmentAreAmbiguous guards against streams that go on at another version after the stored assignment was overwritten.
func TestStreamsFromBeforeALostAssignmentAreAmbiguous(t *testing.T) {
	c := qt.New(t)
	a, _ := Lost().Plan(capacity(map[string]int{"v2": 6}), AdoptedByAll, start)
	_, err := a.Services["llm"].Buckets[5].Began(start.Add(-time.Second))
	c.Check(err, qt.ErrorIs, ErrAmbiguous)
	c.Check(a.Services["llm"].Buckets[5].Allows("v2"), qt.IsTrue)
	raw, err := json.Marshal(a)
	c.Assert(err, qt.IsNil)
	a, err = Decode(raw)
	c.Assert(err, qt.IsNil)
	a, _ = a.Plan(capacity(map[string]int{"v2": 6}), AdoptedByAll, start.Add(time.Second))
	version, err := a.Services["llm"].Buckets[5].Began(start.Add(2 * time.Second))
	c.Assert(err, qt.IsNil)
	c.Check(version, qt.Equals, "v2")
	_, err = a.Services["llm"].Buckets[5].Began(start)
	c.Check(err, qt.ErrorIs, ErrAmbiguous)
}

// TestEarlierVersionEndsDespiteAnOddEnd guards against buckets that stay ambiguous because the end of an earlier version is far ahead.
func TestEarlierVersionEndsDespiteAnOddEnd(t *testing.T) {
	c := qt.New(t)
	a, err := Decode(encoded(`{"version":"v1"}`, `{"version":"v1","earlier":[{"version":"v2","until_ms":9223372036854775807}]}`))
	c.Assert(err, qt.IsNil)
	a, _ = a.Plan(capacity(map[string]int{"v1": 6}), AdoptedByAll, start)
	version, err := a.Services["llm"].Buckets[0].Began(start.Add(time.Second))
	c.Assert(err, qt.IsNil)
	c.Check(version, qt.Equals, "v1")
}

// FuzzDecode checks that any text is refused or gives an assignment that can be used and replaced.
func FuzzDecode(f *testing.F) {
	for _, raw := range oddAssignments() {
		f.Add(raw)
	}
	f.Add(encoded("", ""))
	f.Add(encoded(`{"version":"v1"}`, `{"version":"v1","next":"v2","shared":true,"earlier":[{"version":"v3"},{"version":"","until_ms":1800000000000}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		a, err := Decode(raw)
		if err != nil {
			return
		}
		next, _ := a.Plan(capacity(map[string]int{"v1": 6, "v2": 1}), AdoptedByAll, start)
		if next.Serial <= a.Serial || len(next.Services["llm"].Buckets) != BucketCount {
			t.Fatalf("assignment %d follows %d", next.Serial, a.Serial)
		}
		if _, err := next.Services["llm"].Buckets[7].Began(start); err != nil && err != ErrAmbiguous {
			t.Fatal(err)
		}
		next.Summary()
		next.UndeterminedBuckets(start)
		written, err := json.Marshal(next)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(written); err != nil && next.Serial < maxSerial {
			t.Fatalf("own assignment refused: %v", err)
		}
	})
}
