package settings

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/figstile/figstile/state/config"
)

// SourceOptions are what a Source needs.
type SourceOptions struct {
	// OnChange hears every new view, the newest last. It must not hand
	// objects to the Source. Nil means that nobody listens.
	OnChange func(*config.View)
	Log      zerolog.Logger
}

// Source holds a router's tree of settings and publishes the view in force.
// All methods are safe for concurrent use.
type Source struct {
	options SourceOptions
	view    atomic.Pointer[config.View]

	// publishMu orders publications; it is taken before mu.
	publishMu sync.Mutex

	mu   sync.Mutex
	tree *config.Tree
	// complete is set once the tree holds all that the platform or a ready
	// peer had. Until then nothing is published.
	complete bool
	// listed is set once the platform has been listed.
	listed bool
	// announced is the last peer's announcement while the tree is incomplete.
	announced map[string]uint64
}

// NewSource returns a Source that holds nothing yet.
func NewSource(options SourceOptions) *Source {
	return &Source{options: options, tree: config.NewTree()}
}

// View returns the view in force, or nil until the Source is ready.
func (s *Source) View() *config.View {
	return s.view.Load()
}

// Ready tells whether a whole tree is in force. A router with a part of it
// would refuse callers of workspaces it has not heard of yet, and share out
// capacity among the others only.
func (s *Source) Ready() bool {
	return s.View() != nil
}

// Versions returns the version held of every object, to be announced to
// peers. It is empty until the Source is ready, so that every announcement
// is of a whole tree.
func (s *Source) Versions() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.complete {
		return nil
	}
	return s.tree.Versions()
}

// MissingKeys returns the keys of which a peer announced a greater version than
// is held here, in order. The caller requests them from that peer.
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

// isKnown tells whether this version of an object, or a later one, was already
// taken, or this very one refused: it is not requested again. A peer's valid
// version below a refused one is wanted, as the platform shows only the
// refused one.
func (s *Source) isKnown(key string, version uint64) bool {
	if cached, ok := s.tree.Object(key); ok && cached.Version >= version {
		return true
	}
	return s.tree.InvalidVersion(key) == version
}

// updateComplete finds out whether the tree is whole: it has a root, and all that the
// last peer announced. Without any announcement it is enough to follow the
// platform from a list on, as the routers do that start before the fleet has
// its first root.
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

// Object returns the version held of an object, to answer a peer's request.
func (s *Source) Object(key string) (config.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tree.Object(key)
}

// ApplyFromPeer takes an object that a peer sent. An older version than the one
// held is ignored; an invalid one gives an *config.InvalidError.
func (s *Source) ApplyFromPeer(key string, version uint64, value []byte) error {
	return s.applyAndPublish(originPeer, config.Object{Key: key, Version: version, Value: value})
}

// InvalidObjects returns the newest version of each object that was seen but not
// taken, for status.
func (s *Source) InvalidObjects() map[string]*config.InvalidError {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tree.Invalid()
}

// CheckWith checks an object against the rest of the tree held.
func (s *Source) CheckWith(key string, value []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tree.CheckWith(key, value)
}

// origin says where an object came from.
type origin string

const (
	originPlatform origin = "platform"
	originPeer     origin = "peer"
	originWrite    origin = "write"
)

// applyAndPublish applies objects and publishes the result once. It returns the last
// refusal.
func (s *Source) applyAndPublish(from origin, objects ...config.Object) error {
	err := s.apply(from, objects)
	s.publish()
	return err
}

// applyWritten takes an object that this router has just written. A root makes
// the tree whole: the writer has listed the rest, and the first root of a
// fleet has none beside it.
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
	var rejected error
	for _, o := range objects {
		changed, err := s.tree.Apply(o)
		switch {
		case err != nil:
			rejected = err
			s.options.Log.Warn().Str("event", "config_refused").Str("key", o.Key).Uint64("version", o.Version).Str("from", string(from)).Err(err).Send()
		case changed:
			s.options.Log.Info().Str("event", "config_taken").Str("key", o.Key).Uint64("version", o.Version).Str("from", string(from)).Send()
		}
	}
	s.updateComplete()
	return rejected
}

// applyList takes everything the platform holds, which makes the tree whole.
// An object that the list lacks stays: the platform's copy may lag, and a
// deleted team is a tombstone, never a missing object. A list without a root
// comes from before the first one, or from a copy that old.
func (s *Source) applyList(objects []config.Object) {
	_ = s.apply(originPlatform, objects)
	s.mu.Lock()
	s.listed = true
	s.complete = s.complete || s.tree.View() != nil
	s.mu.Unlock()
	s.publish()
}

// publish puts the newest view in force. It does so outside mu, so that
// OnChange may ask the Source what it holds; publishing keeps two views from
// overtaking each other on the way.
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
