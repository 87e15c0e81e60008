// Package modelengine is a stand-in of a model engine: continuous batching,
// a bounded prefix cache, priorities, cancel, resume, KV export and import,
// late cache events with gaps, a lagging load report, and orders whose fencing
// number is checked or not. Its answers depend on the prompt alone.
package modelengine

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/plankridge/plankridge/internal/engine"
	"github.com/plankridge/plankridge/internal/standin/faults"
)

// Config sets the speed and the size of the engine.
type Config struct {
	// PrefillRate is in prompt tokens per second; prompts are computed one
	// after another.
	PrefillRate float64
	// DecodeInterval is the time between two tokens of a stream that is alone.
	DecodeInterval time.Duration
	// MaxBatch is the number of requests decoded at once.
	MaxBatch int
	// CacheBlocks bounds the prefix cache.
	CacheBlocks int
	// ChecksFence says whether orders with an old fencing number are refused.
	ChecksFence bool
	// ReportLag is the age of load reports and cache events.
	ReportLag time.Duration
}

// batchSlowdown is the part by which one more stream in the batch lengthens
// the decode interval. Decoding is bound by reading the weights, so the
// interval grows slowly with the batch; the constant is a round assumption and
// not a measurement of a real engine.
const batchSlowdown = 0.02

// Server is the stand-in. It implements http.Handler.
type Server struct {
	// Faults are the fault switches.
	Faults faults.Switches

	config  Config
	handler http.Handler

	mu          sync.Mutex
	slots       slotQueue
	prefillFree time.Time
	cache       *prefixCache
	running     map[string]run
	started     int
	produced    map[string]int
	declined    []Decline
	reports     []timedLoad
	fence       int64
	orders      []engine.Order
}

// run is a request inside the engine.
type run struct {
	cancel context.CancelFunc
	blocks []uint64
}

type timedLoad struct {
	at   time.Time
	load engine.Load
}

// New returns an idle engine.
func New(config Config) *Server {
	s := &Server{
		config:  config,
		slots:   slotQueue{free: config.MaxBatch},
		cache:   newPrefixCache(config.CacheBlocks),
		running: map[string]run{},

		produced: map[string]int{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /generate", s.generate)
	mux.HandleFunc("DELETE /generate/{id}", s.cancel)
	mux.HandleFunc("GET /load", s.load)
	mux.HandleFunc("GET /cache-events", s.cacheEvents)
	mux.HandleFunc("POST /kv/export/{id}", s.exportKV)
	mux.HandleFunc("POST /kv/import", s.importKV)
	mux.HandleFunc("POST /orders", s.order)
	s.handler = s.Faults.Wrap(mux)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handler.ServeHTTP(w, r)
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	var attempt engine.Attempt
	if err := json.NewDecoder(r.Body).Decode(&attempt); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.Faults.Get().Refuse {
		s.decline(w, attempt.RequestID)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	blocks := Blocks(attempt.CacheSalt, attempt.Prompt)
	s.enter(attempt.RequestID, run{cancel: cancel, blocks: blocks})
	defer s.leave(attempt.RequestID)
	if s.slots.acquire(ctx, &s.mu, attempt.Priority) != nil {
		return
	}
	defer s.slots.release(&s.mu)
	cached, err := s.prefill(ctx, attempt, blocks)
	if err != nil {
		return
	}
	s.decode(ctx, json.NewEncoder(w), w.(http.Flusher), attempt, cached)
}

// Decline is a request that was declined.
type Decline struct {
	At        time.Time
	RequestID string
}

func (s *Server) decline(w http.ResponseWriter, requestID string) {
	s.mu.Lock()
	s.declined = append(s.declined, Decline{At: time.Now(), RequestID: requestID})
	s.mu.Unlock()
	http.Error(w, "busy", http.StatusServiceUnavailable)
}

// Declined returns the requests that were declined.
func (s *Server) Declined() []Decline {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.declined)
}

func (s *Server) enter(id string, r run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[id] = r
	s.started++
	s.report()
}

func (s *Server) leave(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, id)
	s.report()
}

// maxReports bounds the history of load reports.
const maxReports = 4096

// report records the present load; the caller holds the lock.
func (s *Server) report() {
	load := engine.Load{
		Running:      s.config.MaxBatch - s.slots.free,
		Waiting:      len(s.slots.waiting),
		CachedBlocks: s.cache.len(),
	}
	if len(s.reports) == maxReports {
		s.reports = s.reports[maxReports/2:]
	}
	s.reports = append(s.reports, timedLoad{at: time.Now(), load: load})
}

// prefill waits for its turn, computes what the cache lacks of the prompt and
// returns the number of cached tokens.
func (s *Server) prefill(ctx context.Context, attempt engine.Attempt, blocks []uint64) (int, error) {
	s.mu.Lock()
	cached := min(s.cache.match(blocks)*BlockTokens, CountTokens(attempt.Prompt))
	compute := CountTokens(attempt.Prompt) - cached + len(attempt.Resume)
	now := time.Now()
	start := now
	if s.prefillFree.After(now) {
		start = s.prefillFree
	}
	done := start.Add(time.Duration(float64(compute) / s.config.PrefillRate * float64(time.Second)))
	s.prefillFree = done
	s.mu.Unlock()
	if err := sleep(ctx, done.Sub(now)); err != nil {
		return 0, err
	}
	s.mu.Lock()
	s.cache.insert(blocks)
	s.mu.Unlock()
	return cached, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Server) countToken(requestID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.produced[requestID]++
}

// Produced returns the number of tokens that the engine has produced, by request.
func (s *Server) Produced() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.produced)
}

func (s *Server) decode(ctx context.Context, out *json.Encoder, flusher http.Flusher, attempt engine.Attempt, cached int) {
	answer := NewAnswer(attempt.Prompt, attempt.MaxTokens)
	event := engine.Event{RequestID: attempt.RequestID, Number: attempt.Number}
	for i := len(attempt.Resume); i < answer.Len(); i++ {
		if sleep(ctx, s.interval()) != nil || !s.awake(ctx) {
			return
		}
		if every := s.Faults.Get().CrossEvery; every > 0 && i%every == 0 {
			s.cross(out, event, i)
		}
		event.Index, event.Token = i, answer.Token(i)
		if out.Encode(event) != nil {
			return
		}
		flusher.Flush()
		s.countToken(attempt.RequestID)
	}
	event.Token, event.Index = "", answer.Len()
	event.FinishReason = answer.FinishReason()
	event.Usage = &engine.Usage{PromptTokens: CountTokens(attempt.Prompt), CachedTokens: cached, OutputTokens: answer.Len()}
	_ = out.Encode(event)
}

// cross sends an event of another request, and the last one a second time.
func (s *Server) cross(out *json.Encoder, event engine.Event, index int) {
	repeated := event
	event.RequestID, event.Index, event.Token = "another-request", index, "foreign"
	_ = out.Encode(event)
	event.RequestID, event.Number = repeated.RequestID, repeated.Number+1
	_ = out.Encode(event)
	if repeated.Token != "" {
		_ = out.Encode(repeated)
	}
}

// awake waits while the engine is paused and reports false when the request
// has ended meanwhile.
func (s *Server) awake(ctx context.Context) bool {
	return s.Faults.WaitWhilePaused(ctx)
}

func (s *Server) interval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	others := s.config.MaxBatch - s.slots.free - 1
	return time.Duration(float64(s.config.DecodeInterval) * (1 + batchSlowdown*float64(others)))
}

func (s *Server) cancel(_ http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if found, ok := s.running[r.PathValue("id")]; ok {
		found.cancel()
	}
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var latest engine.Load
	for _, report := range s.reports {
		if time.Since(report.at) < s.config.ReportLag {
			break
		}
		latest = report.load
	}
	_ = json.NewEncoder(w).Encode(latest)
}

func (s *Server) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	events := s.cache.eventsAfter(after, time.Now().Add(-s.config.ReportLag), s.Faults.Get().DropEvery)
	_ = json.NewEncoder(w).Encode(events)
}

// kvBlob is the wire form of an exported KV cache.
type kvBlob struct {
	Data []byte `json:"data"`
}

func (s *Server) exportKV(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.running[r.PathValue("id")]
	if !ok {
		http.Error(w, "no such request", http.StatusNotFound)
		return
	}
	data, err := json.Marshal(found.blocks)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_ = json.NewEncoder(w).Encode(kvBlob{Data: data})
}

func (s *Server) importKV(w http.ResponseWriter, r *http.Request) {
	var blob kvBlob
	var blocks []uint64
	err := json.NewDecoder(r.Body).Decode(&blob)
	if err = errors.Join(err, json.Unmarshal(blob.Data, &blocks)); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache.insert(blocks)
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config.ChecksFence && order.Fence < s.fence {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	s.fence = max(s.fence, order.Fence)
	s.orders = append(s.orders, order)
}

// Running returns the number of requests inside the engine.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running)
}

// Started returns the number of attempts that the engine has begun.
func (s *Server) Started() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started
}

// Orders returns the orders that the engine has carried out.
func (s *Server) Orders() []engine.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]engine.Order(nil), s.orders...)
}
