package generation

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/store"
)

const (
	// watchWait is the maximum duration of one watch call.
	watchWait = 30 * time.Second
	// retryDelay is the pause after a failed call.
	retryDelay = time.Second
)

// Subscriber is a component that is notified of each new generation. ApplyConfig cannot
// fail, because the files were validated when they were applied.
type Subscriber interface {
	ApplyConfig(index *config.Index)
}

// Bundle is a manifest with the contents of its parts, as exchanged by peers.
type Bundle struct {
	// Manifest is the JSON encoding of the manifest object.
	Manifest []byte
	Contents map[string][]byte
}

// Fetcher fetches the deployment of another daemon, without the parts whose digests are
// in known.
type Fetcher func(ctx context.Context, known []string) (Bundle, error)

// Follower tracks the generation in force at this daemon. It is safe for concurrent use.
type Follower struct {
	logger          *slog.Logger
	store           store.Values
	subscribers     []Subscriber
	generationGauge prometheus.Gauge

	mu          sync.Mutex
	manifest    *Manifest
	rawManifest []byte
	contents    map[string][]byte
	index       *config.Index
	changed     chan struct{}
}

// NewFollower returns a follower without a generation.
func NewFollower(store store.Values, logger *slog.Logger, registerer prometheus.Registerer, subscribers ...Subscriber) *Follower {
	gauge := prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "plankridge_config_generation", Help: "Generation of the deployment in force at this daemon.",
	})
	registerer.MustRegister(gauge)
	return &Follower{
		logger:          logger,
		store:           store,
		subscribers:     subscribers,
		generationGauge: gauge,
		manifest:        &Manifest{},
		contents:        map[string][]byte{},
		changed:         make(chan struct{}),
	}
}

// Generation returns the generation in force, or zero if there is none.
func (f *Follower) Generation() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.manifest.Generation
}

// Index returns the deployment in force, or nil.
func (f *Follower) Index() *config.Index {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.index
}

// Changed returns a channel that is closed when the next generation takes effect.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Run watches the manifest until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var version int64
	for ctx.Err() == nil {
		object, err := f.store.Watch(ctx, manifestKey, version, watchWait)
		if errors.Is(err, store.ErrUnchanged) {
			continue
		}
		if err == nil {
			err = f.applyFromStore(ctx, object.Data)
		}
		if err != nil {
			f.waitAfterError(ctx, err)
			continue
		}
		version = object.Version
	}
}

func (f *Follower) waitAfterError(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.logger.Warn("cannot follow the deployment in the store", "error", err)
	select {
	case <-time.After(retryDelay):
	case <-ctx.Done():
	}
}

// applyFromStore applies a manifest read from the store.
func (f *Follower) applyFromStore(ctx context.Context, raw []byte) error {
	manifest, err := decodeManifest(raw)
	if err != nil {
		return err
	}
	if manifest.Generation <= f.Generation() {
		return nil
	}
	contents := f.knownContents()
	if err := fetchParts(ctx, f.store, manifest, contents); err != nil {
		return err
	}
	return f.apply(manifest, raw, contents)
}

// ApplyFromPeer applies the deployment of a peer that reports a higher generation.
func (f *Follower) ApplyFromPeer(ctx context.Context, generation int64, fetch Fetcher) error {
	if generation <= f.Generation() {
		return nil
	}
	contents := f.knownContents()
	known := make([]string, 0, len(contents))
	for digest := range contents {
		known = append(known, digest)
	}
	bundle, err := fetch(ctx, known)
	if err != nil {
		return eris.Wrap(err, "fetch deployment from peer")
	}
	manifest, err := decodeManifest(bundle.Manifest)
	if err != nil {
		return err
	}
	for digest, content := range bundle.Contents {
		if digestOf(content) != digest {
			return eris.Errorf("peer sent a part that does not match digest %s", digest)
		}
		contents[digest] = content
	}
	return f.apply(manifest, bundle.Manifest, contents)
}

func (f *Follower) knownContents() map[string][]byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	contents := make(map[string][]byte, len(f.contents))
	for digest, content := range f.contents {
		contents[digest] = content
	}
	return contents
}

// apply puts a generation in force. It does nothing if the generation is not higher than
// the current one, since a newer one may have arrived from another source first.
func (f *Follower) apply(manifest *Manifest, raw []byte, contents map[string][]byte) error {
	d, err := assemble(manifest, contents)
	if err != nil {
		return err
	}
	index := config.NewIndex(d)
	f.mu.Lock()
	defer f.mu.Unlock()
	if manifest.Generation <= f.manifest.Generation {
		return nil
	}
	f.manifest, f.rawManifest, f.index = manifest, raw, index
	f.contents = map[string][]byte{}
	for _, ref := range manifest.Parts {
		f.contents[ref.Digest] = contents[ref.Digest]
	}
	for _, subscriber := range f.subscribers {
		subscriber.ApplyConfig(index)
	}
	f.generationGauge.Set(float64(manifest.Generation))
	f.logger.Info("deployment in force", "generation", manifest.Generation, "apply_id", manifest.ApplyID)
	close(f.changed)
	f.changed = make(chan struct{})
	return nil
}

// Bundle returns the deployment in force for a peer, without the parts that the peer has.
func (f *Follower) Bundle(known []string) (Bundle, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.index == nil {
		return Bundle{}, ErrNoDeployment
	}
	bundle := Bundle{Manifest: f.rawManifest, Contents: map[string][]byte{}}
	for digest, content := range f.contents {
		bundle.Contents[digest] = content
	}
	for _, digest := range known {
		delete(bundle.Contents, digest)
	}
	return bundle, nil
}

// Document returns the deployment in force as JSON with its generation.
func (f *Follower) Document() ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.index == nil {
		return nil, ErrNoDeployment
	}
	return json.Marshal(Document{Generation: f.manifest.Generation, Deployment: f.index.Deployment})
}

// Document is a deployment with its generation.
type Document struct {
	Generation int64              `json:"generation"`
	Deployment *config.Deployment `json:"deployment"`
}
