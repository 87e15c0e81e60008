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

// Publisher applies deployments to the Object API.
type Publisher struct {
	store store.Values
}

// NewPublisher returns a publisher over the store.
func NewPublisher(store store.Values) *Publisher {
	return &Publisher{store: store}
}

// confirmDelay is the pause between two tries to learn whether a write whose
// answer was lost has taken effect.
const confirmDelay = 200 * time.Millisecond

// Apply makes the deployment the next generation if the current one is still
// basedOn. It returns a *ConflictError otherwise. Repeating an apply with the
// same ID is harmless and returns the manifest that it made.
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
			return nil, eris.Wrap(err, "apply is not settled")
		}
	}
}

// tryApply makes one attempt. retry is true when its effect is not known, so that
// the manifest has to be read again.
func (p *Publisher) tryApply(ctx context.Context, refs []PartRef, contents map[string][]byte, basedOn int64, applyID string) (*Manifest, bool, error) {
	current, version, err := readManifest(ctx, p.store)
	if err != nil && !errors.Is(err, ErrNoDeployment) {
		return nil, errors.Is(err, store.ErrUnknown), err
	}
	if current.ApplyID == applyID {
		return current, false, nil
	}
	if current.Generation != basedOn {
		return nil, false, &ConflictError{BasedOn: basedOn, Current: current.Generation}
	}
	if err := p.putParts(ctx, current, refs, contents); err != nil {
		return nil, errors.Is(err, store.ErrUnknown), err
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
	lost := errors.Is(err, store.ErrUnknown) || errors.Is(err, store.ErrConflict)
	return nil, lost, err
}

// putParts writes the parts that the current manifest does not name. A part
// is named by its content, so that one which is already there is the same.
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

// readManifest returns the manifest and its version. Without one it returns an
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

// Read returns the deployment that the store holds.
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

// fetchParts reads the parts that are not in contents yet.
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
