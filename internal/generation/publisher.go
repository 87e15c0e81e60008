package generation

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/store"
)

// Publisher applies deployments to the store.
type Publisher struct {
	store store.Values
}

// NewPublisher returns a publisher that writes to the store.
func NewPublisher(store store.Values) *Publisher {
	return &Publisher{store: store}
}

// confirmDelay is the pause between two attempts to find out whether a write whose
// response was lost has taken effect.
const confirmDelay = 200 * time.Millisecond

// Apply makes the deployment the next generation if basedOn is the current one. Otherwise
// it returns a *ConflictError. Apply is idempotent: repeating it with the same ID returns
// the manifest that the first call created.
func (p *Publisher) Apply(ctx context.Context, d *config.Deployment, basedOn int64, applyID string) (*Manifest, error) {
	refs, contents, err := splitParts(d)
	if err != nil {
		return nil, err
	}
	for {
		manifest, retry, err := p.tryApply(ctx, refs, contents, basedOn, applyID)
		if !retry {
			return manifest, err
		}
		select {
		case <-time.After(confirmDelay):
		case <-ctx.Done():
			return nil, eris.Wrap(err, "outcome of apply is unknown")
		}
	}
}

// tryApply makes one attempt. The boolean result is true if it is unknown whether the
// attempt took effect, so that the manifest must be read again.
func (p *Publisher) tryApply(ctx context.Context, refs []PartRef, contents map[string][]byte, basedOn int64, applyID string) (*Manifest, bool, error) {
	current, version, err := readManifest(ctx, p.store)
	if err != nil && !errors.Is(err, ErrNoDeployment) {
		return nil, errors.Is(err, store.ErrOutcomeUnknown), err
	}
	if current.ApplyID == applyID {
		return current, false, nil
	}
	if current.Generation != basedOn {
		return nil, false, &ConflictError{BasedOn: basedOn, Current: current.Generation}
	}
	if err := p.putParts(ctx, current, refs, contents); err != nil {
		return nil, errors.Is(err, store.ErrOutcomeUnknown), err
	}
	next := &Manifest{Generation: basedOn + 1, ApplyID: applyID, AppliedAt: time.Now().UTC(), Parts: refs}
	raw, err := json.Marshal(next)
	if err != nil {
		return nil, false, eris.Wrap(err, "encode manifest")
	}
	_, err = p.store.Put(ctx, manifestKey, raw, version)
	if err == nil {
		return next, false, nil
	}
	retry := errors.Is(err, store.ErrOutcomeUnknown) || errors.Is(err, store.ErrConflict)
	return nil, retry, err
}

// putParts writes the parts that the current manifest does not list. The key of a part is
// its digest, so an existing object has the same content.
func (p *Publisher) putParts(ctx context.Context, current *Manifest, refs []PartRef, contents map[string][]byte) error {
	present := map[string]bool{}
	for _, ref := range current.Parts {
		present[ref.Digest] = true
	}
	for _, ref := range refs {
		if present[ref.Digest] {
			continue
		}
		_, err := p.store.Put(ctx, partPrefix+ref.Digest, contents[ref.Digest], 0)
		if err != nil && !errors.Is(err, store.ErrConflict) {
			return eris.Wrapf(err, "write part %s", ref.Name)
		}
		present[ref.Digest] = true
	}
	return nil
}

// readManifest returns the manifest and its version. If there is none, it returns an
// empty manifest, version zero and ErrNoDeployment.
func readManifest(ctx context.Context, values store.Values) (*Manifest, int64, error) {
	object, err := values.Get(ctx, manifestKey)
	if errors.Is(err, store.ErrNotFound) {
		return &Manifest{}, 0, ErrNoDeployment
	}
	if err != nil {
		return nil, 0, err
	}
	manifest, err := decodeManifest(object.Data)
	return manifest, object.Version, err
}

func decodeManifest(raw []byte) (*Manifest, error) {
	manifest := &Manifest{}
	if err := json.Unmarshal(raw, manifest); err != nil {
		return nil, eris.Wrap(err, "decode manifest")
	}
	return manifest, nil
}

// Read returns the deployment in the store.
func (p *Publisher) Read(ctx context.Context) (*Manifest, *config.Deployment, error) {
	manifest, _, err := readManifest(ctx, p.store)
	if err != nil {
		return manifest, nil, err
	}
	contents := map[string][]byte{}
	if err := fetchParts(ctx, p.store, manifest, contents); err != nil {
		return nil, nil, err
	}
	d, err := assemble(manifest, contents)
	return manifest, d, err
}

// fetchParts reads the parts that are missing from contents.
func fetchParts(ctx context.Context, values store.Values, manifest *Manifest, contents map[string][]byte) error {
	for _, ref := range manifest.Parts {
		if _, known := contents[ref.Digest]; known {
			continue
		}
		object, err := values.Get(ctx, partPrefix+ref.Digest)
		if err != nil {
			return eris.Wrapf(err, "read part %s", ref.Name)
		}
		contents[ref.Digest] = object.Data
	}
	return nil
}
