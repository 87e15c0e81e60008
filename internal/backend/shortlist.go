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
	ranks := need.ranks
	if len(ranks) != len(servers) {
		ranks = ranksOf(servers)
	}
	first, second := topHomes(xxhash.Sum64String(key), ranks)
	list := append(make([]*server, 0, homeCount+sampleCount), servers[first], servers[second])
	for i := range sampleCount {
		at := drawSample(servers, need, i)
		for slices.Contains(list[:homeCount], servers[at]) {
			at = (at + 1) % uint64(len(servers))
		}
		list = append(list, servers[at])
	}
	return list
}

// maxDraws is the number of servers that are drawn for one place in the sample until one is accepted.
const maxDraws = 4

// drawSample returns the index of a sampled server. Servers are drawn in proportion to their weights: a
// drawn one is accepted with its share of the largest weight.
func drawSample(servers []*server, need Need, place int) uint64 {
	seed := strconv.FormatUint(need.SampleSeed, 16) + strconv.Itoa(place)
	hash := xxhash.Sum64String(seed)
	for range maxDraws - 1 {
		at := hash % uint64(len(servers))
		accepted := xxhash.Sum64String(seed + "accept")
		if unitOf(accepted)*need.topWeight <= servers[at].weight() {
			return at
		}
		seed += "again"
		hash = xxhash.Sum64String(seed)
	}
	return hash % uint64(len(servers))
}
