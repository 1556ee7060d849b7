package settings

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/figstile/figstile/state/config"
)

// SourceOptions configure a Source.
type SourceOptions struct {
	// OnChange receives every new view in order. It must not pass objects to
	// the Source. It may be nil.
	OnChange func(*config.View)
	Log      zerolog.Logger
}

// Source holds a router's tree of settings and publishes the view in force. All
// methods are safe for concurrent use.
type Source struct {
	options SourceOptions
	view    atomic.Pointer[config.View]

	// publishMu orders the publication of views. It is locked before mu.
	publishMu sync.Mutex

	mu   sync.Mutex
	tree *config.Tree
	// complete is set once the tree contains all objects that the platform or a
	// ready peer had. Until then nothing is published.
	complete bool
	// listed is set once the platform has been listed.
	listed bool
	// announced contains the versions that a peer announced last while the tree
	// is incomplete.
	announced map[string]uint64
}

// NewSource returns a Source without objects.
func NewSource(options SourceOptions) *Source {
	return &Source{options: options, tree: config.NewTree()}
}

// View returns the view in force, or nil until the Source is ready.
func (s *Source) View() *config.View {
	return s.view.Load()
}

// Ready reports whether a complete tree is in force. A router with a part of
// the tree would refuse callers of workspaces that it has not received yet, and
// divide the capacity among the other workspaces only.
func (s *Source) Ready() bool {
	return s.View() != nil
}

// Versions returns the version of each object in the tree, to be announced to
// peers. It is empty until the Source is ready, so that every announcement
// describes a complete tree.
func (s *Source) Versions() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.complete {
		return nil
	}
	return s.tree.Versions()
}

// MissingKeys returns the sorted keys of the objects for which a peer announced
// a greater version than this tree has. The caller requests them from that
// peer.
func (s *Source) MissingKeys(peer map[string]uint64) []string {
	missing := s.missingKeys(peer)
	s.publish()
	return missing
}

func (s *Source) missingKeys(peer map[string]uint64) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var missing []string
	for key, version := range peer {
		if !s.isKnown(key, version) {
			missing = append(missing, key)
		}
	}
	if !s.complete && len(peer) > 0 {
		s.announced = maps.Clone(peer)
	}
	s.updateComplete()
	slices.Sort(missing)
	return missing
}

// isKnown reports whether an object need not be requested, because the tree has
// this version or a later one, or because this very version was refused as
// invalid. A peer's valid version below a refused one is still requested, as
// the platform offers only the refused one.
func (s *Source) isKnown(key string, version uint64) bool {
	if cached, ok := s.tree.Object(key); ok && cached.Version >= version {
		return true
	}
	return s.tree.InvalidVersion(key) == version
}

// updateComplete sets complete once the tree has a root and all objects that a
// peer announced last. Without an announcement, a list from the platform is
// enough; this is so for routers that start before the fleet has its first
// root.
func (s *Source) updateComplete() {
	if s.complete || s.tree.View() == nil {
		return
	}
	for key, version := range s.announced {
		if !s.isKnown(key, version) {
			return
		}
	}
	s.complete = s.listed || s.announced != nil
}

// Object returns an object of the tree, to answer a peer's request.
func (s *Source) Object(key string) (config.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tree.Object(key)
}

// ApplyFromPeer applies an object that a peer sent. It ignores a version older
// than that in the tree, and returns a *config.InvalidError for an invalid
// object.
func (s *Source) ApplyFromPeer(key string, version uint64, value []byte) error {
	return s.applyAndPublish(originPeer, config.Object{Key: key, Version: version, Value: value})
}

// InvalidObjects returns, for the status, the newest version of each object
// that was refused as invalid.
func (s *Source) InvalidObjects() map[string]*config.InvalidError {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tree.Invalid()
}

// CheckWith checks an object against the rest of the tree.
func (s *Source) CheckWith(key string, value []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tree.CheckWith(key, value)
}

// origin names the source from which an object was received.
type origin string

const (
	originPlatform origin = "platform"
	originPeer     origin = "peer"
	originWrite    origin = "write"
)

// applyAndPublish applies objects and publishes the resulting view once. It
// returns the error of the last object that was refused as invalid.
func (s *Source) applyAndPublish(from origin, objects ...config.Object) error {
	err := s.apply(from, objects)
	s.publish()
	return err
}

// applyWritten applies an object that this router has just written. A root
// makes the tree complete: the writer has listed the other objects before, and
// a fleet's first root has none beside it.
func (s *Source) applyWritten(o config.Object) {
	_ = s.apply(originWrite, []config.Object{o})
	s.mu.Lock()
	s.complete = s.complete || o.Key == config.RootKey && s.tree.View() != nil
	s.mu.Unlock()
	s.publish()
}

func (s *Source) apply(from origin, objects []config.Object) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var lastErr error
	for _, o := range objects {
		changed, err := s.tree.Apply(o)
		switch {
		case err != nil:
			lastErr = err
			s.options.Log.Warn().Str("event", "config_refused").Str("key", o.Key).Uint64("version", o.Version).Str("from", string(from)).Err(err).Send()
		case changed:
			s.options.Log.Info().Str("event", "config_taken").Str("key", o.Key).Uint64("version", o.Version).Str("from", string(from)).Send()
		}
	}
	s.updateComplete()
	return lastErr
}

// applyList applies the list of all objects on the platform, which makes the
// tree complete if it has a root. An object that is not in the list stays in
// the tree: the platform's answer may be stale, and a deleted team is a
// tombstone and never a missing object. A list without a root is from before
// the first root, or from a replica that old.
func (s *Source) applyList(objects []config.Object) {
	_ = s.apply(originPlatform, objects)
	s.mu.Lock()
	s.listed = true
	s.complete = s.complete || s.tree.View() != nil
	s.mu.Unlock()
	s.publish()
}

// publish puts the newest view in force. It does not hold mu while it does so,
// so that OnChange may call the Source. publishMu ensures that views come into
// force in order.
func (s *Source) publish() {
	s.publishMu.Lock()
	defer s.publishMu.Unlock()
	view := s.completeView()
	if view == nil || view == s.view.Load() {
		return
	}
	if err := view.Err(); err != nil {
		s.options.Log.Warn().Str("event", "config_clash").Err(err).Send()
	}
	s.view.Store(view)
	if s.options.OnChange != nil {
		s.options.OnChange(view)
	}
}

func (s *Source) completeView() *config.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.complete {
		return nil
	}
	return s.tree.View()
}
