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
	// differenceGrace is how long a peer that is ahead must show other servers before
	// its list is fetched by a daemon that follows the store itself: a change
	// reaches all watches within some milliseconds.
	differenceGrace = 600 * time.Millisecond
	// storeReturnedFor is how long the return of the store is told.
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
	return s.lacksServers(status, time.Now())
}

// lacksServers reports whether the peer has seen more of the list of servers and
// shows another one. A daemon that follows the store itself gives its own watch
// time to bring the change; one that does not asks for the whole list when the
// changes alone do not make the lists alike.
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
		// The changes are enough. While servers change all the time the digests never
		// agree: 295 daemons fetched the whole list 18 times each in their first seconds.
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
	request := &gossippb.PullRequest{}
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
	reply := &gossippb.PullReply{Vm: s.router.settings.VM.ID}
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
	if back := time.Since(s.storeReturnedAt); back < storeReturnedFor {
		reply.StoreBackMs = max(1, back.Milliseconds())
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
	told := make([]*gossippb.Removal, 0, len(removed))
	for _, one := range removed {
		told = append(told, &gossippb.Removal{Id: one.id, Revision: one.revision})
	}
	return told
}

func decodeRemovals(told []*gossippb.Removal) []removedServer {
	removed := make([]removedServer, 0, len(told))
	for _, one := range told {
		removed = append(removed, removedServer{id: one.GetId(), revision: one.GetRevision()})
	}
	return removed
}

// packedList is a list of servers as peers exchange it, with what it was made from.
type packedList struct {
	since, revision int64
	digest          uint64
	packed          []byte
	partial         bool
}

// maxPackedLists bounds the packed lists that are kept: the whole one, and what has changed
// since the few revisions at which the daemons of a zone are behind.
const maxPackedLists = 4

// packedServers returns the list as peers exchange it, what has changed since a revision or
// all of it, packed once for all that ask while it stays as it is. After the death of all
// the relays are asked by their zone: 3,000 servers are 632 KB, which 60 daemons get over
// two links of 20 Mbit/s in 8 s, and packed 62 KB (TestServerListIsCompressed). 900 servers
// that leave at once are 192 KB of changes to each, and packed 18 KB
// (TestServerChangesAreCompressed). The caller holds the lock.
func (s *state) packedServers(since int64) (packed []byte, partial bool) {
	for _, kept := range s.packedLists {
		if kept.since == since && kept.revision == s.serverList.revision && kept.digest == s.serverList.digest {
			return kept.packed, kept.partial
		}
	}
	changed, removed, partial := s.serverList.changesSince(since)
	raw, err := proto.Marshal(&gossippb.ServerList{Servers: encodeServers(changed), Removed: encodeRemovals(removed)})
	if err != nil {
		s.router.logger.Error("list of servers cannot be encoded", "error", err)
		return nil, partial
	}
	packed = pack(raw)
	made := packedList{since: since, revision: s.serverList.revision, digest: s.serverList.digest, packed: packed, partial: partial}
	s.packedLists = append([]packedList{made}, s.packedLists[:min(len(s.packedLists), maxPackedLists-1)]...)
	return packed, partial
}

// unpackServers returns what packedServers returned at a peer.
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

// packedConfig returns a configuration as peers exchange it, packed once for all that
// ask.
func (s *state) packedConfig(c *catalog.Catalog) []byte {
	s.packedConfigMu.Lock()
	defer s.packedConfigMu.Unlock()
	if s.packedConfigVersion != c.Version || s.packedConfigBytes == nil {
		s.packedConfigBytes, s.packedConfigVersion = pack(c.Raw), c.Version
	}
	return s.packedConfigBytes
}

// applyPackedConfig takes over what packedConfig returned at a peer.
func (s *state) applyPackedConfig(packed []byte) {
	raw, err := unpack(packed)
	if err != nil {
		s.router.logger.Error("configuration of a peer cannot be unpacked", "error", err, "bytes", len(packed))
		return
	}
	s.applyConfig(raw, "peer")
}

// maxUnpackedBytes bounds what is unpacked, in bytes: eight times the largest value that
// the store holds.
const maxUnpackedBytes = 8 << 20

// pack compresses with gzip. A configuration repeats its field names in each route and
// shrinks to a tenth or less.
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
	s.mu.Lock()
	wanted := reply.GetServersRevision() > s.serverList.revision ||
		(reply.GetServersRevision() == s.serverList.revision && len(reply.GetPackedServers()) > 0)
	s.mu.Unlock()
	if !wanted {
		return false
	}
	now := time.Now()
	if ago := reply.GetStoreBackMs(); ago > 0 {
		s.storeReturned(now.Add(-time.Duration(ago) * time.Millisecond))
	}
	objects, removed, err := unpackServers(reply.GetPackedServers())
	if err != nil {
		s.router.logger.Error("list of servers of a peer cannot be unpacked", "error", err, "bytes", len(reply.GetPackedServers()))
		return false
	}
	if !reply.GetPartial() {
		s.replaceServers(objects, reply.GetServersRevision(), reply.GetVm(), now)
	} else {
		s.updateServers(serverChanges{put: objects, removed: removed, from: reply.GetVm(), upTo: reply.GetServersRevision()}, now)
	}
	return !s.matchesPeer(reply, now)
}

// matchesPeer reports whether the list is now that of the peer that told it, as far as that can be
// said. Where its changes did not make it so, one was lost, and the whole list is asked for: the
// revision alone says nothing of that, and goes on for other objects all the time.
func (s *state) matchesPeer(reply *gossippb.PullReply, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmList(reply.GetServersDigest(), reply.GetServersAgeMs(), now)
	if reply.GetServersDigest() == 0 || reply.GetServersRevision() != s.serverList.revision || reply.GetServersDigest() == s.serverList.digest {
		return true
	}
	s.router.listsDiffer.Inc()
	s.router.logger.Warn("list of servers differs from the one it was told from", "from", reply.GetVm(),
		"revision", s.serverList.revision, "partial", reply.GetPartial(), "servers", len(s.serverList.entries))
	s.pullFullList = reply.GetPartial()
	return !reply.GetPartial()
}
