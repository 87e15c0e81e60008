package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plankridge/plankridge/internal/prefix"
	"github.com/plankridge/plankridge/internal/quarantine"
	"github.com/plankridge/plankridge/internal/quarantine/watch"
	"github.com/plankridge/plankridge/internal/request"
	"github.com/plankridge/plankridge/internal/route"
)

// quarantineRetryAfter is the Retry-After value for a request that crashes servers. It leaves
// operators time to look into it.
const quarantineRetryAfter = 30 * time.Second

// FingerprintOf returns what the quarantine recognizes a request by.
func FingerprintOf(spec *request.Spec) quarantine.Fingerprint {
	if spec.Plain != nil {
		return quarantine.Fingerprint{Content: quarantine.DigestOf(spec.Workspace, spec.Plain.Method, spec.Service, spec.Plain.Path, spec.Plain.Body)}
	}
	encoded, err := json.Marshal(spec.Model)
	if err != nil {
		// Strings, numbers and bytes can always be encoded.
		panic(err)
	}
	return quarantine.Fingerprint{
		Content: quarantine.DigestOf(spec.Workspace, string(spec.Kind), spec.Service, "", encoded),
		Parts:   beginnings(spec),
	}
}

const (
	// denseBeginnings is the number of blocks up to which each beginning of a prompt has a digest.
	// Beyond it the next one is longer by the fraction beginningGrowth. A part that ends servers is
	// found if it is as long as that.
	denseBeginnings = 8
	beginningGrowth = 0.25
	// maxBeginnings bounds the digests of a prompt. They cover about 9,700 tokens.
	maxBeginnings = 22
)

// beginnings returns the digests of the beginnings of a prompt. Callers of this interface do not name
// the parts of their prompts, but prompts with a common part begin alike up to its end.
func beginnings(spec *request.Spec) []quarantine.Digest {
	blocks := prefix.Blocks(fmt.Sprintf("%q %q", spec.Service, spec.Workspace), spec.Model.Prompt)
	var digests []quarantine.Digest
	for length := 1; length <= len(blocks) && len(digests) < maxBeginnings; {
		digests = append(digests, quarantine.Digest(blocks[length-1]))
		if length < denseBeginnings {
			length++
		} else {
			length += int(float64(length) * beginningGrowth)
		}
	}
	return digests
}

// refuseQuarantined refuses a request that the quarantine blocks.
func (d *Dispatcher) refuseQuarantined(spec *request.Spec, now time.Time) *Refusal {
	block, blocked := d.options.Quarantine.Blocked(FingerprintOf(spec), now)
	if !blocked {
		return nil
	}
	return &Refusal{Status: http.StatusServiceUnavailable, Detail: blockError(block).Error(), RetryAfter: quarantineRetryAfter}
}

// blockError returns the error for callers of a blocked request.
func blockError(block quarantine.Block) error {
	if block.IsPart {
		return errPromptEndsServers
	}
	return errEndsServers
}

// checkQuarantine returns an error if the quarantine forbids the next attempt. A retry
// after a broken attempt is held to a stricter rule than a first attempt.
func (d *Dispatcher) checkQuarantine(flight *Flight, now time.Time) error {
	block, blocked := d.options.Quarantine.Blocked(flight.fingerprint, now)
	switch {
	case blocked:
		return blockError(block)
	case flight.attempts() > 0 && d.options.Quarantine.Suspected(flight.fingerprint):
		return errServersEnded
	}
	return nil
}

// reportBroken reports to the quarantine that the connection of an attempt broke: the
// server may have ended.
func (d *Dispatcher) reportBroken(flight *Flight, server route.Server, sent, at time.Time) {
	d.options.Quarantine.RecordBrokenAttempt(watch.Server{
		Key: serverEndKey(server.ID, at), ID: server.ID, Service: flight.spec.Service,
		Exited: func(ctx context.Context) bool { return d.serverEnded(ctx, server.Address) },
	}, quarantine.LostRequest{Fingerprint: flight.fingerprint, SentAt: sent}, false, at)
}

// serverEndKey identifies one end of a server's process. A restarted process keeps the ID of
// its VM, and the VM list does not distinguish its restarts, so the key includes the second of
// the end. All attempts that one end breaks fail within milliseconds, and no process restarts
// within a second.
func serverEndKey(id string, at time.Time) quarantine.ServerInstance {
	return quarantine.ServerInstance(xxhash.Sum64String(id + "/" + strconv.FormatInt(at.Unix(), 10)))
}

// serverEnded reports whether the connection to a server's address is refused.
func (d *Dispatcher) serverEnded(ctx context.Context, address string) bool {
	if d.options.Dial == nil {
		return false
	}
	conn, err := d.options.Dial(ctx, address)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
