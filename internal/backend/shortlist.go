package backend

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxFullScan is the number of servers up to which all of them are considered.
	maxFullScan = 16
	// homeCount is the number of servers that all daemons treat as homes of a prompt, and
	// sampleCount the number of other servers that are considered.
	homeCount   = 2
	sampleCount = 2
)

// shortlist returns the servers that are considered for a request. The known loads are old, and
// many daemons know the same ones: if all servers were considered, all daemons would send to the
// same few. So each request considers the homes of its prompt and a few servers sampled by its
// seed.
func shortlist(servers []*server, need Need) []*server {
	if len(servers) <= maxFullScan || need.ServerID != "" {
		return servers
	}
	key := homePartID(need.Parts)
	if key == "" {
		return servers
	}
	list := topHomes(key, servers)
	for i := range sampleCount {
		at := xxhash.Sum64String(strconv.FormatUint(need.SampleSeed, 16)+strconv.Itoa(i)) % uint64(len(servers))
		for slices.Contains(list[:homeCount], servers[at]) {
			at = (at + 1) % uint64(len(servers))
		}
		list = append(list, servers[at])
	}
	return list
}

// topHomes returns the two servers of highest rendezvous weight for a key, the highest first. The
// list must hold at least two servers.
func topHomes(key string, servers []*server) []*server {
	keyHash := xxhash.Sum64String(key)
	var first, second *server
	var firstWeight, secondWeight uint64
	for _, s := range servers {
		switch weight := s.rendezvousWeight(keyHash); {
		case first == nil || weight > firstWeight:
			second, secondWeight = first, firstWeight
			first, firstWeight = s, weight
		case second == nil || weight > secondWeight:
			second, secondWeight = s, weight
		}
	}
	return append(make([]*server, 0, homeCount+sampleCount), first, second)
}
