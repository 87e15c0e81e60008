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
