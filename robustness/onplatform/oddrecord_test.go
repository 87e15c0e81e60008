package onplatform

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestOddLeaseRecordRefusesNobodyForGood guards against a workspace that is refused after the death of all daemons because of a number that another writer left in the record of the lease.
func TestOddLeaseRecordRefusesNobodyForGood(t *testing.T) {
	for _, number := range []string{"-1", "1e15", "9007199254740992", "9223372036854775807", "-9223372036854775808", "1e300", "-1e300"} {
		for _, field := range []string{"daemons", "asked"} {
			t.Run(fmt.Sprintf("%s %s", field, number), func(t *testing.T) {
				run(t, 3, twoServices, func(b *bed) {
					b.Check(b.refusals(8), qt.HasLen, 0)
					b.killAll()
					var record map[string]any
					b.decode(b.store.Object("plankridge-leases", "cloud"), &record)
					value := any(json.RawMessage(number))
					if field == "asked" {
						value = map[string]any{workspace: value}
					}
					record["memory"].(map[string]any)[field] = value
					raw, err := json.Marshal(record)
					b.Assert(err, qt.IsNil)
					b.store.PutRaw("plankridge-leases", "cloud", string(raw))
					b.startAll()
					// A record that cannot be decoded leaves the earlier use unknown for a window of 10 s.
					time.Sleep(15 * time.Second)
					b.Check(b.refusals(8), qt.HasLen, 0)
				})
			})
		}
	}
}

// TestOddUsageWindowHidesNoUsage guards against usage that is not reported because another writer left counts of a window far ahead.
func TestOddUsageWindowHidesNoUsage(t *testing.T) {
	for _, window := range []string{"4611686018427387904", "9223372036854775807", "-9223372036854775808", "199999999"} {
		t.Run(window, func(t *testing.T) {
			run(t, 3, twoServices, func(b *bed) {
				b.Check(b.refusals(8), qt.HasLen, 0)
				b.killAll()
				var record map[string]any
				b.decode(b.store.Object("plankridge-leases", "cloud"), &record)
				record["memory"].(map[string]any)["windows"] = map[string]any{window: map[string]any{workspace: 7}}
				b.store.Put("plankridge-leases", "cloud", record)
				b.startAll()
				time.Sleep(12 * time.Second)
				before := b.reportedUsage()
				b.Check(b.refusals(8), qt.HasLen, 0)
				time.Sleep(12 * time.Second)
				b.Check(b.reportedUsage()-before, qt.Equals, int64(48))
			})
		})
	}
}

// reportedUsage returns the requests of the workspace that were reported to the cloud.
func (b *bed) reportedUsage() (requests int64) {
	for _, report := range b.cloud.Reports() {
		requests += report.Counts[workspace]
	}
	return requests
}
