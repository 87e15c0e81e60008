package backend

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// homeRank is what the rank of a server as home of a prompt depends on.
type homeRank struct {
	// idHash is the hash of the server's ID, and slowness the inverse of its weight.
	idHash   uint64
	slowness float64
}

// homeServer returns the server on which the prompts of a key are preferably cached. It uses weighted
// rendezvous hashing over the given servers: all daemons agree without communication, and a server that
// joins, leaves or changes its speed moves only its own keys.
func homeServer(key string, servers []*server) *server {
	if key == "" || len(servers) == 0 {
		return nil
	}
	first, _ := topHomes(xxhash.Sum64String(key), ranksOf(servers))
	return servers[first]
}

// topHomes returns the indices of the two servers of highest rank as home of a key, the highest first, or
// -1 where there is none. With the hash as a uniform number u in (0, 1), the rank is highest where -ln(u)
// divided by the server's weight is lowest, so that a server is the home of a share of all keys that is
// proportional to its weight. Since 1 - u is below -ln(u) and no weight is above maxHomeWeight, most servers
// are ruled out by a comparison of hashes.
func topHomes(keyHash uint64, ranks []homeRank) (first, second int) {
	first, second = -1, -1
	lowest, next, bound := math.Inf(1), math.Inf(1), uint64(math.MaxUint64)
	for i := range ranks {
		rest := ^ranks[i].hash(keyHash)
		if rest > bound {
			continue
		}
		switch cost := -math.Log1p(-unitOf(rest)) * ranks[i].slowness; {
		case cost < lowest:
			first, second, lowest, next = i, first, cost, lowest
		case cost < next:
			second, next = i, cost
		}
		if share := next * maxHomeWeight; share < 1 {
			bound = uint64(share * (1 << 64))
		}
	}
	return first, second
}

// unitOf converts a hash to a number in [0, 1).
func unitOf(hash uint64) float64 { return float64(int64(hash>>11)) * (1.0 / (1 << 53)) }

// hash returns the hash that decides on the server as home of a key. With equal weights, the server with the
// highest hash is the home.
func (r homeRank) hash(keyHash uint64) uint64 {
	var input [16]byte
	binary.LittleEndian.PutUint64(input[:8], keyHash)
	binary.LittleEndian.PutUint64(input[8:], r.idHash)
	return xxhash.Sum64(input[:])
}

// ranksOf returns the ranks of servers in the same order.
func ranksOf(servers []*server) []homeRank {
	ranks := make([]homeRank, len(servers))
	for i, s := range servers {
		ranks[i] = s.homeRank
	}
	return ranks
}

// cachedRanks are the ranks of a list of servers. They are valid for that list until a weight changes.
type cachedRanks struct {
	servers []*server
	ranks   []homeRank
	version int
}

// ranks returns the ranks of the ready servers of a track. They are kept together because a choice among
// 2,600 servers reads them all. The caller holds the lock.
func (v *View) ranks(t track, servers []*server) []homeRank {
	cached, found := v.homeRanks[t]
	if !found || cached.version != v.weightsVersion || len(cached.servers) != len(servers) || len(servers) > 0 && &cached.servers[0] != &servers[0] {
		cached = cachedRanks{servers: servers, ranks: ranksOf(servers), version: v.weightsVersion}
		v.homeRanks[t] = cached
	}
	return cached.ranks
}
