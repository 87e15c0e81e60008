package keys

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/plankridge/plankridge/internal/request"
	_ "github.com/plankridge/plankridge/internal/standin/fixedseed"
	"github.com/plankridge/plankridge/internal/store"
)

// Randomized tests use a fixed seed unless the command line sets another.
func init() { _ = flag.Set("rapid.seed", "1") }

func TestRefIdentifiesRequest(t *testing.T) {
	c := qt.New(t)
	scope := Scope{Workspace: "w", Service: "s", Path: "/orders"}
	ref := func(scope Scope, key, body string) Ref {
		return NewRef("z", scope, key, http.MethodPost, []byte(body))
	}
	base := ref(scope, "k", `{"a":1,"b":[2]}`)
	c.Check(ref(scope, "k", `{ "b":[2], "a":1 }`), qt.Equals, base)
	c.Check(ref(scope, "k", `{"a":1.0,"b":[2]}`).Fingerprint, qt.Not(qt.Equals), base.Fingerprint)
	c.Check(ref(scope, "k", "a").Fingerprint, qt.Not(qt.Equals), ref(scope, "k", "a ").Fingerprint)
	for _, other := range []Scope{{"v", "s", "/orders"}, {"w", "t", "/orders"}, {"w", "s", "/order"}, {"ws", "", "/orders"}} {
		c.Check(ref(other, "k", `{}`).Hash, qt.Not(qt.Equals), base.Hash)
	}
}

// TestSlotsMoveOnlyFromDeadHolders has processes claim slots in random order.
func TestSlotsMoveOnlyFromDeadHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		homes := &Homes{}
		members := []string{"a", "b", "c"}
		dead := map[string]bool{}
		for range rapid.IntRange(1, 30).Draw(t, "looks") {
			self := Holder{Daemon: rapid.SampledFrom(members).Draw(t, "who"), Incarnation: 1}
			if rapid.Bool().Draw(t, "dies") {
				dead[self.Daemon] = true
			}
			if dead[self.Daemon] {
				continue
			}
			next, _ := homes.Claim("z", self, members, func(h Holder) bool { return dead[h.Daemon] }, rapid.Bool().Draw(t, "eager"))
			for slot := range SlotsPerZone {
				before, after := homes.Holder("z", slot), next.Holder("z", slot)
				if before != after && before != (Holder{}) && !dead[before.Daemon] {
					t.Fatalf("slot %d moved from living %v to %v", slot, before, after)
				}
			}
			homes = next
		}
	})
}

// TestLedgerDoesNotDependOnOrder applies the records of a key's requests in random order and
// more than once, as they may be read from the log.
func TestLedgerDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// The requests of a key are sequential: a later one begins only after the earlier one
		// is recorded as not run.
		var records []Record
		count := rapid.IntRange(1, 4).Draw(t, "requests")
		var want Record
		for i := range count {
			record := Record{Ref: Ref{Hash: "k"}, RequestID: request.ID(fmt.Sprint(i)), At: time.Unix(int64(-10*i), 0), Turn: i + 1}
			record.State = StateIntent
			records = append(records, record)
			record.State = StateNotRun
			if i == count-1 {
				record.State = rapid.SampledFrom([]State{StateIntent, StateDone, StateNotRun, StateUnknown}).Draw(t, "end")
			}
			record.At = record.At.Add(time.Second)
			records = append(records, record)
			want = record
		}
		ledger := NewLedger()
		for _, i := range rapid.Permutation(indices(2*len(records))).Draw(t, "order") {
			ledger.Apply(records[i%len(records)])
		}
		if got := ledger.records["k"]; got.RequestID != want.RequestID || got.State != want.State {
			t.Fatalf("got request %s %s, want %s %s", got.RequestID, got.State, want.RequestID, want.State)
		}
	})
}

func indices(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// flakyStore refuses every third write and loses the response of every second one.
type flakyStore struct {
	store.Values
	calls   int
	written map[string][]byte
}

// Put implements store.Values.
func (s *flakyStore) Put(_ context.Context, key string, value []byte, _ int64) (store.Value, error) {
	s.calls++
	if s.calls%3 == 0 {
		return store.Value{}, store.ErrRefused
	}
	if _, known := s.written[key]; known {
		return store.Value{}, store.ErrConflict
	}
	s.written[key] = value
	if s.calls%2 == 0 {
		return store.Value{}, store.ErrOutcomeUnknown
	}
	return store.Value{}, nil
}

func TestCommitterWritesEveryRecordOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := &flakyStore{written: map[string][]byte{}}
		committer := NewCommitter(store, "p-1", slog.New(slog.DiscardHandler))
		committer.SetWriters(3)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); committer.Run(ctx) }()
		for i := range 30 {
			logged := committer.Append(Record{Ref: Ref{Zone: fmt.Sprint("z", i%2)}, RequestID: request.ID(fmt.Sprint(i))})
			if i%4 == 0 {
				<-logged
			}
		}
		for len(committer.Pending()) > 0 {
			time.Sleep(time.Second)
		}
		cancel()
		<-done
		seen := 0
		for key, raw := range store.written {
			var batch []Record
			c.Assert(json.Unmarshal(raw, &batch), qt.IsNil)
			for _, record := range batch {
				c.Check(key, qt.Contains, "/"+record.Ref.Zone+"/")
				seen++
			}
		}
		c.Check(seen, qt.Equals, 30)
	})
}

func TestFullLedgerRefuses(t *testing.T) {
	c := qt.New(t)
	ledger := NewLedger()
	now := time.Unix(1e6, 0)
	for i := range maxRecords {
		ledger.records[fmt.Sprint(i)] = Record{At: now}
	}
	_, _, err := ledger.Begin(Record{Ref: Ref{Hash: "new"}, At: now.Add(time.Hour)})
	c.Check(errors.Is(err, ErrFull), qt.IsTrue)
	_, claimed, err := ledger.Begin(Record{Ref: Ref{Hash: "new"}, At: now.Add(Retention)})
	c.Check(err, qt.IsNil)
	c.Check(claimed, qt.IsTrue)
	c.Check(ledger.Len(), qt.Equals, 1)
}
