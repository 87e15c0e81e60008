// Package keys makes a request that carries an Idempotency-Key run once, at
// whichever daemon and how often it arrives. Each key has a home: a slot of an
// availability zone, held by one daemon of that zone. The Object API says who
// holds which slot; docs/design/caller-keys.md gives the reasons.
package keys

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/request"
)

// SlotsPerZone is the number of slots of an availability zone. It bounds the
// daemons that write intents, and so the writes, whatever the number of
// daemons: 4 slots in 7 zones are at most 28 writers.
const SlotsPerZone = 4

// MaxKeyBytes is the longest key that is accepted, in bytes.
const MaxKeyBytes = 255

// Ref names a key.
type Ref = request.KeyRef

// Scope is what a key is unique in.
type Scope struct {
	Workspace string
	Service   string
	Path      string
}

// NewRef returns the reference of a key. The zone is the workspace's home.
func NewRef(zone string, scope Scope, key, method string, body []byte) Ref {
	hash := digest(scope.Workspace, scope.Service, scope.Path, key)
	return Ref{
		Zone:        zone,
		Slot:        int(xxhash.Sum64String(hash) % SlotsPerZone),
		Hash:        hash,
		Fingerprint: digest(method, string(canonicalJSON(body))),
	}
}

// digest hashes texts with their lengths, so that no two lists are alike.
func digest(parts ...string) string {
	hash := sha256.New()
	for _, part := range parts {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write([]byte(part))
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// canonicalJSON writes a JSON body with sorted members and without white space, so
// that a client that encodes the same request anew has the same fingerprint.
// Another body stays as it is.
func canonicalJSON(body []byte) []byte {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	var value any
	if decoder.Decode(&value) != nil || decoder.More() {
		return body
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return body
	}
	return encoded
}

// HomeZone returns the availability zone that a workspace's keys live in: the
// one that its file names, or one by hash.
func HomeZone(d *config.Deployment, workspace *config.Workspace) string {
	if workspace.HomeZone != "" || len(d.Zones) == 0 {
		return workspace.HomeZone
	}
	return d.Zones[xxhash.Sum64String(workspace.Name)%uint64(len(d.Zones))].Name
}

// PathWithoutQuery returns the path of a call without its query.
func PathWithoutQuery(path string) string {
	path, _, _ = strings.Cut(path, "?")
	return path
}
