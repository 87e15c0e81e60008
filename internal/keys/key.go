// Package keys ensures that a request with an Idempotency-Key runs once, however often
// and at whichever daemon it arrives. Each key has a home: a slot of an availability zone that
// one daemon of the zone holds. The Object API stores the assignment of slots to daemons. For
// the rationale see docs/design/caller-keys.md.
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

// SlotsPerZone is the number of slots of an availability zone. It bounds the number of daemons
// that write intents, and so the write rate, independently of the number of daemons: 4 slots
// in 7 zones make at most 28 writers.
const SlotsPerZone = 4

// MaxKeyBytes is the maximum length of a key in bytes.
const MaxKeyBytes = 255

// Ref identifies a key.
type Ref = request.KeyRef

// Scope is the namespace in which a key is unique.
type Scope struct {
	Workspace string
	Service   string
	Path      string
}

// NewRef returns the reference of a key. zone is the home zone of the workspace.
func NewRef(zone string, scope Scope, key, method string, body []byte) Ref {
	hash := digest(scope.Workspace, scope.Service, scope.Path, key)
	return Ref{
		Zone:        zone,
		Slot:        int(xxhash.Sum64String(hash) % SlotsPerZone),
		Hash:        hash,
		Fingerprint: digest(method, string(canonicalJSON(body))),
	}
}

// digest hashes strings together with their lengths, so that different lists cannot collide
// by concatenation.
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

// canonicalJSON re-encodes a JSON body with sorted members and without white space, so that a
// client that encodes the same request again gets the same fingerprint. Any other body is
// returned unchanged.
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

// HomeZone returns the availability zone that holds a workspace's keys: the zone named in the
// workspace's configuration, or one chosen by hash.
func HomeZone(d *config.Deployment, workspace *config.Workspace) string {
	if workspace.HomeZone != "" || len(d.Zones) == 0 {
		return workspace.HomeZone
	}
	return d.Zones[xxhash.Sum64String(workspace.Name)%uint64(len(d.Zones))].Name
}

// PathWithoutQuery returns a path without its query.
func PathWithoutQuery(path string) string {
	path, _, _ = strings.Cut(path, "?")
	return path
}
