package router

import (
	"bytes"
	"compress/gzip"
	"io"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plankridge/plankridge/internal/catalog"
	"github.com/plankridge/plankridge/internal/gossip/gossippb"
	"github.com/plankridge/plankridge/internal/store"
)

const (
	// differenceGrace is how long the list of a peer that is ahead must differ before a daemon that
	// follows the store itself fetches it. A change reaches all watches within some milliseconds.
	differenceGrace = 600 * time.Millisecond
	// storeReturnedFor is how long pull replies include the return of the store.
	storeReturnedFor = 5 * time.Second
)

// NeedsPull implements gossip.Sink.
func (s *state) NeedsPull(status *gossippb.Status) bool {
	version := int64(0)
	if c := s.Catalog(); c != nil {
		version = c.Version
	}
	if status.GetConfigVersion() > version {
		return true
	}
	return s.lacksServers(status, time.Now()) || status.GetStreamAssignment() > s.streamVersions.adopted()
}

// lacksServers reports whether the peer's list of servers is more recent and differs. A daemon that
// follows the store itself first gives its own watch time to deliver the change. One that does not
// requests the whole list if the changes do not make the lists equal.
func (s *state) lacksServers(status *gossippb.Status, now time.Time) bool {
	following := s.router.following.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	ahead := status.GetServersRevision() > s.serverList.revision || (!following && status.GetServersRevision() == s.serverList.revision)
	if !ahead || status.GetStoreFailing() || status.GetServersDigest() == s.serverList.digest {
		delete(s.differsSince, status.GetVm())
		return false
	}
	if !following && status.GetServersRevision() > s.serverList.revision {
		// The changes are enough. While servers change all the time the digests never match: 295
		// daemons fetched the whole list 18 times each in their first seconds.
		delete(s.differsSince, status.GetVm())
		return true
	}
	since, known := s.differsSince[status.GetVm()]
	if !known {
		since = now
		s.differsSince[status.GetVm()] = now
	}
	if now.Sub(since) >= differenceGrace {
		s.pullFullList = true
		return true
	}
	return !following || s.storeUnavailableLocked()
}

// PullRequest implements gossip.Source.
func (s *state) PullRequest() *gossippb.PullRequest {
	request := &gossippb.PullRequest{StreamAssignment: s.streamVersions.adopted()}
	if c := s.Catalog(); c != nil {
		request.ConfigVersion = c.Version
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.pullFullList {
		request.ServersRevision = s.serverList.revision
	}
	return request
}

// AnswerPull implements gossip.Source.
func (s *state) AnswerPull(request *gossippb.PullRequest) *gossippb.PullReply {
	reply := &gossippb.PullReply{Vm: s.router.settings.VM.ID, PackedStreamAssignment: s.streamVersions.packed(request.GetStreamAssignment())}
	if c := s.Catalog(); c != nil && c.Version > request.GetConfigVersion() {
		reply.ConfigVersion, reply.Config = c.Version, s.packedConfig(c)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.serverList.revision <= request.GetServersRevision() || s.storeFailingLocked() {
		return reply
	}
	reply.ServersRevision, reply.ServersDigest = s.serverList.revision, s.serverList.digest
	reply.ServersAgeMs = s.listAgeMs(time.Now())
	if sinceReturn := time.Since(s.storeReturnedAt); sinceReturn < storeReturnedFor {
		reply.StoreBackMs = max(1, sinceReturn.Milliseconds())
	}
	reply.PackedServers, reply.Partial = s.packedServers(request.GetServersRevision())
	return reply
}

func encodeServers(objects []store.Object) []*gossippb.Server {
	servers := make([]*gossippb.Server, 0, len(objects))
	for _, object := range objects {
		servers = append(servers, &gossippb.Server{Id: object.Name, Spec: object.Spec, Revision: object.Revision})
	}
	return servers
}

func decodeServers(servers []*gossippb.Server) []store.Object {
	objects := make([]store.Object, 0, len(servers))
	for _, server := range servers {
		objects = append(objects, store.Object{Name: server.GetId(), Spec: server.GetSpec(), Revision: server.GetRevision()})
	}
	return objects
}

func encodeRemovals(removed []removedServer) []*gossippb.Removal {
	encoded := make([]*gossippb.Removal, 0, len(removed))
	for _, r := range removed {
		encoded = append(encoded, &gossippb.Removal{Id: r.id, Revision: r.revision})
	}
	return encoded
}

func decodeRemovals(encoded []*gossippb.Removal) []removedServer {
	removed := make([]removedServer, 0, len(encoded))
	for _, r := range encoded {
		removed = append(removed, removedServer{id: r.GetId(), revision: r.GetRevision()})
	}
	return removed
}

// packedList is a compressed list of servers, with the state from which it was made.
type packedList struct {
	since, revision int64
	digest          uint64
	packed          []byte
	partial         bool
}

// maxPackedLists bounds the number of packed lists that are cached: the whole list, and the changes
// since the few revisions at which the daemons of a zone are.
const maxPackedLists = 4

// packedServers returns the compressed changes since a revision, or the whole list. The result is
// cached until the list changes. After all daemons have restarted, the relays are asked by all
// daemons of their zone: 3,000 servers are 632 KB, which 60 daemons receive over two links of 20
// Mbit/s in 8 s, and 62 KB compressed (TestServerListIsCompressed). 900 servers that leave at once
// are 192 KB of changes for each daemon, and 18 KB compressed (TestServerChangesAreCompressed). The
// caller holds the lock.
func (s *state) packedServers(since int64) (packed []byte, partial bool) {
	for _, cached := range s.packedLists {
		if cached.since == since && cached.revision == s.serverList.revision && cached.digest == s.serverList.digest {
			return cached.packed, cached.partial
		}
	}
	changed, removed, partial := s.serverList.changesSince(since)
	raw, err := proto.Marshal(&gossippb.ServerList{Servers: encodeServers(changed), Removed: encodeRemovals(removed)})
	if err != nil {
		s.router.logger.Error("failed to encode list of servers", "error", err)
		return nil, partial
	}
	packed = pack(raw)
	list := packedList{since: since, revision: s.serverList.revision, digest: s.serverList.digest, packed: packed, partial: partial}
	s.packedLists = append([]packedList{list}, s.packedLists[:min(len(s.packedLists), maxPackedLists-1)]...)
	return packed, partial
}

// unpackServers decodes the result of a peer's packedServers.
func unpackServers(packed []byte) (servers []store.Object, removed []removedServer, err error) {
	raw, err := unpack(packed)
	if err != nil {
		return nil, nil, err
	}
	var list gossippb.ServerList
	if err := proto.Unmarshal(raw, &list); err != nil {
		return nil, nil, err
	}
	return decodeServers(list.GetServers()), decodeRemovals(list.GetRemoved()), nil
}

// packedConfig returns a compressed configuration. The result is cached for each version.
func (s *state) packedConfig(c *catalog.Catalog) []byte {
	s.packedConfigMu.Lock()
	defer s.packedConfigMu.Unlock()
	if s.packedConfigVersion != c.Version || s.packedConfigBytes == nil {
		s.packedConfigBytes, s.packedConfigVersion = pack(c.Raw), c.Version
	}
	return s.packedConfigBytes
}

// applyPackedConfig applies the result of a peer's packedConfig.
func (s *state) applyPackedConfig(packed []byte) {
	raw, err := unpack(packed)
	if err != nil {
		s.router.logger.Error("failed to unpack configuration from peer", "error", err, "bytes", len(packed))
		return
	}
	s.applyConfig(raw, "peer")
}

// maxUnpackedBytes bounds the size of decompressed data: eight times the largest value that the
// store holds.
const maxUnpackedBytes = 8 << 20

// pack compresses data with gzip. A configuration repeats its field names in each route and shrinks
// to a tenth or less.
func pack(raw []byte) []byte {
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	// Writing to a buffer does not fail.
	_, _ = w.Write(raw)
	_ = w.Close()
	return packed.Bytes()
}

func unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r, maxUnpackedBytes))
}

// HandlePullReply implements gossip.Sink.
func (s *state) HandlePullReply(reply *gossippb.PullReply) (again bool) {
	if len(reply.GetConfig()) > 0 {
		s.applyPackedConfig(reply.GetConfig())
	}
	s.streamVersions.applyPacked(reply)
	s.mu.Lock()
	wanted := reply.GetServersRevision() > s.serverList.revision ||
		(reply.GetServersRevision() == s.serverList.revision && len(reply.GetPackedServers()) > 0)
	s.mu.Unlock()
	if !wanted {
		return false
	}
	now := time.Now()
	if ageMs := reply.GetStoreBackMs(); ageMs > 0 {
		s.storeReturned(now.Add(-time.Duration(ageMs) * time.Millisecond))
	}
	objects, removed, err := unpackServers(reply.GetPackedServers())
	if err != nil {
		s.router.logger.Error("failed to unpack list of servers from peer", "error", err, "bytes", len(reply.GetPackedServers()))
		return false
	}
	if !reply.GetPartial() {
		s.replaceServers(objects, reply.GetServersRevision(), reply.GetVm(), now)
	} else {
		s.updateServers(serverChanges{put: objects, removed: removed, from: reply.GetVm(), upTo: reply.GetServersRevision()}, now)
	}
	return !s.matchesPeer(reply, now)
}

// matchesPeer reports whether the list now equals that of the peer that sent it, or cannot be
// compared with it. If changes did not make the lists equal, a change was lost, and the whole list
// is requested. The revision alone does not show this, and it advances all the time because of
// other objects.
func (s *state) matchesPeer(reply *gossippb.PullReply, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmList(reply.GetServersDigest(), reply.GetServersAgeMs(), now)
	if reply.GetServersDigest() == 0 || reply.GetServersRevision() != s.serverList.revision || reply.GetServersDigest() == s.serverList.digest {
		return true
	}
	s.router.listsDiffer.Inc()
	s.router.logger.Warn("list of servers differs from the peer's", "from", reply.GetVm(),
		"revision", s.serverList.revision, "partial", reply.GetPartial(), "servers", len(s.serverList.entries))
	s.pullFullList = reply.GetPartial()
	return !reply.GetPartial()
}
