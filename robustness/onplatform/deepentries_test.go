package onplatform

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/platform/fake"
)

// oddTexts are specs that are deep, that look like entries, or that are not JSON.
var oddTexts = map[string]string{
	"deep objects":             strings.Repeat(`{"a":`, 20_000) + `1` + strings.Repeat(`}`, 20_000),
	"deep objects without end": strings.Repeat(`[1,{"metadata":{"name":"x-1"},"a":`, 5_000),
	"entries within":           `{"entries":[{"metadata":{"name":"x-1"},"spec":{}},{"metadata":{"name":"x-1"}}],"currentRev":4611686018427387904,"morePages":true}`,
	"without its end":          `{"service":"desk","models":[{"name":"m"},{"name":`,
	"without a quote":          `{"service":"desk,"zone":"zone-1"}`,
	"too many ends":            `{}}]}}]`,
}

// TestOddEntriesWhileDaemonsFollow guards against daemons that follow the list of servers no more, or do not
// start, while one entry is odd.
func TestOddEntriesWhileDaemonsFollow(t *testing.T) {
	for name, text := range oddTexts {
		t.Run(name, func(t *testing.T) {
			run(t, 3, func(b *bed) {
				b.addServer("i-1", plain, &fake.Server{})
				b.store.PutRaw("servers", "i-0", text)
				b.configure(routes{plainRoute("/a/", "idempotent", 1)})
			}, func(b *bed) {
				serves := func(daemons int) {
					for i := range 2 * daemons {
						b.Check(b.send(call{method: "GET", path: "/a/x", key: testKey, to: i % daemons}).status, qt.Equals, 200)
					}
				}
				serves(3)
				calls := b.store.Calls().Reads.Load()
				for i := range 10 {
					b.store.PutRaw("servers", fmt.Sprintf("o-%d", i%3), text+strings.Repeat(" ", i))
					time.Sleep(500 * time.Millisecond)
				}
				reads := b.store.Calls().Reads.Load() - calls
				b.Check(reads <= 60, qt.IsTrue, qt.Commentf("%d reads for 10 changes", reads))
				b.startDaemon(4)
				time.Sleep(2 * time.Second)
				serves(4)
				// The only server is replaced while the odd entries stand and as they go.
				next := b.addServer("i-2", plain, &fake.Server{})
				b.store.Remove("servers", "i-1")
				time.Sleep(3 * time.Second)
				before := len(next.Arrivals())
				serves(3)
				b.Check(len(next.Arrivals()) > before, qt.IsTrue)
				for i := range 3 {
					b.store.Remove("servers", fmt.Sprintf("o-%d", i))
				}
				b.store.Remove("servers", "i-0")
				time.Sleep(2 * time.Second)
				serves(3)
			})
		})
	}
}
