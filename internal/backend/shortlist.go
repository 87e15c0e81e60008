package backend

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// lookAtAll is the number of servers up to which all are looked at.
	lookAtAll = 16
	// homes is the number of servers that all daemons take for homes of a prompt,
	// drawn the number of others that are looked at.
	homes = 2
	drawn = 2
)

// shortlist returns the servers that are looked at for a request. What a daemon
// knows of loads is old, and many daemons know the same: were all servers looked
// at, all daemons would send to the same few. So each request looks at the homes
// of its prompt and at a few servers drawn for it.
func shortlist(servers []*server, need Need) []*server {
	if len(servers) <= lookAtAll || need.Only != "" {
		return servers
	}
	key := homeKey(need.Parts)
	if key == "" {
		return servers
	}
	byWeight := func(a, b *server) int { return cmp.Compare(homeWeight(key, b.ID), homeWeight(key, a.ID)) }
	ranked := slices.SortedFunc(slices.Values(servers), byWeight)
	list := ranked[:homes:homes]
	rest := ranked[homes:]
	for i := range drawn {
		at := xxhash.Sum64String(strconv.FormatUint(need.Draw, 16)+strconv.Itoa(i)) % uint64(len(rest))
		list = append(list, rest[at])
	}
	return list
}
