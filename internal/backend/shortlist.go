package backend

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxFullScan is the number of servers up to which all are looked at.
	maxFullScan = 16
	// homeCount is the number of servers that all daemons take for homes of a prompt,
	// drawn the number of others that are looked at.
	homeCount   = 2
	sampleCount = 2
)

// shortlist returns the servers that are looked at for a request. What a daemon
// knows of loads is old, and many daemons know the same: were all servers looked
// at, all daemons would send to the same few. So each request looks at the homes
// of its prompt and at a few servers drawn for it.
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

// topHomes returns the servers of most weight for a key, that of most first. There are
// more servers than homes.
func topHomes(key string, servers []*server) []*server {
	keyHash := xxhash.Sum64String(key)
	var first, second *server
	var most, next uint64
	for _, s := range servers {
		switch weight := s.rendezvousWeight(keyHash); {
		case first == nil || weight > most:
			second, next = first, most
			first, most = s, weight
		case second == nil || weight > next:
			second, next = s, weight
		}
	}
	return append(make([]*server, 0, homeCount+sampleCount), first, second)
}
