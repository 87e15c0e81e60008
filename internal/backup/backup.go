// Package backup stores copies of requests that other daemons own, so that the requests survive
// a failure of their owners. It does no I/O.
package backup

import (
	"errors"
	"maps"
	"slices"
	"sync"

	"github.com/plankridge/plankridge/internal/request"
)

// Errors of a Store.
var (
	// ErrFull means that the copy would exceed the memory limit of the store.
	ErrFull = errors.New("backup has no room")
	// ErrNoCopy means that there is no copy, or that the update would leave a gap in its tokens.
	ErrNoCopy = errors.New("backup has no copy that the update fits")
)

// Owner is one process of a daemon. A restarted daemon is a different owner.
type Owner struct {
	Daemon      string
	Incarnation uint64
	// ListedRevision is a revision of the VM list that contains the daemon's VM. The absence of
	// the VM proves its death only to readers whose list is at least that recent.
	ListedRevision int64
}

// Copy is the state of a request as stored by its backup.
type Copy struct {
	Owner  Owner
	Spec   request.Spec
	Tokens []string
	// Permitted is set if the owner may have sent a request that is not idempotent. A permitted
	// copy is never run.
	Permitted bool
}

// Sizes for the estimate of a copy's memory, in bytes.
const (
	baseCopyBytes = 1024
	bytesPerToken = 32
)

func (c *Copy) size() int {
	size := baseCopyBytes + bytesPerToken*len(c.Tokens)
	if c.Spec.Model != nil {
		size += len(c.Spec.Model.Prompt)
	}
	if c.Spec.Plain != nil {
		size += len(c.Spec.Plain.Body)
	}
	return size
}

// Store holds copies up to a memory limit. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	maxBytes int
	bytes    int
	copies   map[request.ID]*Copy
}

// NewStore returns an empty store that holds at most maxBytes bytes.
func NewStore(maxBytes int) *Store {
	return &Store{maxBytes: maxBytes, copies: map[request.ID]*Copy{}}
}

// Put stores a copy. It replaces an older copy of the same request, but never resets its
// Permitted flag.
func (s *Store) Put(c Copy) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	freed := 0
	if old := s.copies[c.Spec.ID]; old != nil {
		c.Permitted = c.Permitted || old.Permitted
		freed = old.size()
	}
	if s.bytes-freed+c.size() > s.maxBytes {
		return ErrFull
	}
	s.bytes += c.size() - freed
	s.copies[c.Spec.ID] = &c
	return nil
}

// Extend appends tokens to a copy. offset is the number of tokens before them.
func (s *Store) Extend(id request.ID, offset int, tokens []string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.copies[id]
	if c == nil || offset > len(c.Tokens) {
		return ErrNoCopy
	}
	s.bytes -= c.size()
	c.Tokens = append(c.Tokens[:offset:offset], tokens...)
	s.bytes += c.size()
	return nil
}

// Release drops a copy, if there is one.
func (s *Store) Release(id request.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.copies[id]; c != nil {
		s.bytes -= c.size()
		delete(s.copies, id)
	}
}

// Has reports whether there is a copy of the request.
func (s *Store) Has(id request.ID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copies[id] != nil
}

// Size returns the number of copies and their estimated memory in bytes.
func (s *Store) Size() (copies, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.copies), s.bytes
}

// Owners returns the IDs of the daemons that own copies, sorted.
func (s *Store) Owners() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	owners := map[string]bool{}
	for _, c := range s.copies {
		owners[c.Owner.Daemon] = true
	}
	return slices.Sorted(maps.Keys(owners))
}

// TakeFromDead removes and returns the copies of dead owners.
func (s *Store) TakeFromDead(dead func(Owner) bool) []Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	var taken []Copy
	for id, c := range s.copies {
		if dead(c.Owner) {
			taken = append(taken, *c)
			s.bytes -= c.size()
			delete(s.copies, id)
		}
	}
	return taken
}
