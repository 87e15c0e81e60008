package keys

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/plankridge/plankridge/internal/store"
)

// logPrefix is the prefix of all log batches in the Object API.
const logPrefix = "log/"

// writesPerSecond is the share of the Object API's write rate that the key log may use,
// summed over all daemons.
const writesPerSecond = 300

const (
	// commitRetryDelay is the delay after a failed write.
	commitRetryDelay = 500 * time.Millisecond
	// maxBatchBytes bounds the size of a batch; it is below the platform's limit for objects.
	maxBatchBytes = 512 << 10
)

// Committer writes records to the key log in batches. Records that arrive during a write are
// queued for the next batch.
type Committer struct {
	store  store.Values
	logger *slog.Logger
	// name is unique among all processes that ever write to the log.
	name string

	mu          sync.Mutex
	interval    time.Duration
	queue       []*pending
	writing     []*pending
	batchNumber int
	wake        chan struct{}
}

// pending is a record that is queued for the log or being written.
type pending struct {
	record Record
	size   int
	done   chan struct{}
}

// NewCommitter returns a Committer whose batch keys contain name.
func NewCommitter(store store.Values, name string, logger *slog.Logger) *Committer {
	return &Committer{store: store, name: name, logger: logger, wake: make(chan struct{}, 1)}
}

// SetWriters sets the number of daemons that write to the log. It determines the interval
// between batches, so that all daemons together stay within writesPerSecond.
func (c *Committer) SetWriters(count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interval = time.Duration(count) * time.Second / writesPerSecond
}

// Append queues a record and returns a channel that is closed when the record is in the log.
func (c *Committer) Append(record Record) <-chan struct{} {
	raw, err := json.Marshal(record)
	if err != nil {
		panic("keys: encode record: " + err.Error())
	}
	p := &pending{record: record, size: len(raw), done: make(chan struct{})}
	c.mu.Lock()
	c.queue = append(c.queue, p)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return p.done
}

// Pending returns the records that may not be in the log yet.
func (c *Committer) Pending() []Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	var records []Record
	for _, p := range append(append([]*pending(nil), c.writing...), c.queue...) {
		records = append(records, p.record)
	}
	return records
}

// Run writes batches until the context ends.
func (c *Committer) Run(ctx context.Context) {
	for {
		select {
		case <-c.wake:
		case <-ctx.Done():
			return
		}
		for c.takeBatch() {
			if !c.writeBatch(ctx) {
				return
			}
		}
	}
}

// takeBatch moves the head of the queue into the next batch and reports whether there is one.
func (c *Committer) takeBatch() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	size, count := 0, 0
	for count < len(c.queue) && (count == 0 || c.fits(count, size)) {
		size += c.queue[count].size
		count++
	}
	c.writing = c.queue[:count:count]
	c.queue = c.queue[count:]
	return count > 0
}

// fits reports whether a queued record may be added to a batch of the given size. All records
// of a batch belong to one availability zone.
func (c *Committer) fits(index, size int) bool {
	p := c.queue[index]
	return size+p.size <= maxBatchBytes && p.record.Ref.Zone == c.queue[0].record.Ref.Zone
}

// writeBatch retries until the batch is in the log. A write whose response was lost is repeated
// under the same key, so a conflict means that the first write succeeded.
func (c *Committer) writeBatch(ctx context.Context) bool {
	c.mu.Lock()
	c.batchNumber++
	name := fmt.Sprintf("%s%s/%06d", hourPrefix(c.writing[0].record.Ref.Zone, time.Now()), c.name, c.batchNumber)
	records := make([]Record, len(c.writing))
	for i, p := range c.writing {
		records[i] = p.record
	}
	interval := c.interval
	c.mu.Unlock()
	raw, err := json.Marshal(records)
	if err != nil {
		panic("keys: encode batch: " + err.Error())
	}
	for {
		_, err := c.store.Put(ctx, name, raw, 0)
		if err == nil || errors.Is(err, store.ErrConflict) {
			break
		}
		c.logger.Warn("cannot write to the key log", "error", err)
		if !pause(ctx, commitRetryDelay) {
			return false
		}
	}
	c.mu.Lock()
	for _, p := range c.writing {
		close(p.done)
	}
	c.writing = nil
	c.mu.Unlock()
	return pause(ctx, interval)
}

// hourPrefix returns the key prefix of the batches that were written in an hour.
func hourPrefix(zone string, at time.Time) string {
	return fmt.Sprintf("%s%s/%d/", logPrefix, zone, at.Unix()/3600)
}

// pause sleeps for d. It returns false if the context ended first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
