// Package backup keeps copies of the requests that other daemons own, so that
// they outlive their owner. It does no I/O.
package backup

import (
	"errors"
	"maps"
	"slices"
	"sync"

	"github.com/plankridge/plankridge/internal/request"
)

// Errors of the store.
var (
	// ErrFull means that the store has no room for the copy.
	ErrFull = errors.New("backup has no room")
	// ErrNoCopy means that an update does not fit the copy, or that there is
	// none.
	ErrNoCopy = errors.New("backup has no copy that the update fits")
)

// Owner is one process of a daemon. A restart makes another owner.
type Owner struct {
	Daemon      string
	Incarnation uint64
	// ListedRevision is a revision of the VM list that shows the daemon's VM. Only who
	// has read the list up to there can tell its death by its absence.
	ListedRevision int64
}

// Copy is a request as its backup knows it.
type Copy struct {
	Owner  Owner
	Spec   request.Spec
	Tokens []string
	// Permitted says that the owner may have sent the request, which is not
	// idempotent. A permitted copy is never run.
	Permitted bool
}

// Sizes by which the memory of a copy is estimated, in bytes.
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

// Store holds copies within a limit of memory.
type Store struct {
	mu       sync.Mutex
	maxBytes int
	bytes    int
	copies   map[request.ID]*Copy
}

// NewStore returns an empty store that holds at most that many bytes.
func NewStore(most int) *Store {
	return &Store{maxBytes: most, copies: map[request.ID]*Copy{}}
}

// Put keeps a copy. An older copy of the same request is replaced, but a
// permit is never taken back.
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

// Extend adds tokens to a copy. The offset is the number of tokens before
// them.
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

// Release drops a copy.
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

// Size returns the number of copies and their memory in bytes.
func (s *Store) Size() (copies, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.copies), s.bytes
}

// Owners returns the daemons that own copies, in order.
func (s *Store) Owners() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	owners := map[string]bool{}
	for _, c := range s.copies {
		owners[c.Owner.Daemon] = true
	}
	return slices.Sorted(maps.Keys(owners))
}

// TakeFromDead removes and returns the copies whose owner is proved dead.
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
