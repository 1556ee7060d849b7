package settings

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/transport/objectstore"
	"github.com/figstile/figstile/transport/pause"
)

// These constants limit the duration of one write.
const (
	// callTimeout limits one call. The platform answers within milliseconds; a
	// call that takes seconds is lost.
	callTimeout = 3 * time.Second
	// resolveAttempts limits the attempts to determine the outcome of a write
	// whose answer was lost, so that an operator waits less than half a minute
	// if the platform does not answer.
	resolveAttempts = 5
	// resolveInterval is the mean time between two attempts.
	resolveInterval = 400 * time.Millisecond
)

// WriterOptions configure a Writer.
type WriterOptions struct {
	Store  objectstore.Store
	Source *Source
	Log    zerolog.Logger
	// Sleep waits, or returns early when the context ends; nil means real time.
	Sleep func(ctx context.Context, d time.Duration)
}

// Writer changes objects of the settings tree in the platform's store. It is
// safe for concurrent use.
type Writer struct {
	options WriterOptions
}

// NewWriter returns a Writer with the given options.
func NewWriter(options WriterOptions) *Writer {
	if options.Sleep == nil {
		options.Sleep = func(ctx context.Context, d time.Duration) { _ = pause.For(ctx, d) }
	}
	return &Writer{options: options}
}

// Read returns the platform's current version of an object, or a *NotFoundError
// or *UnavailableError.
func (w *Writer) Read(ctx context.Context, key string) (config.Object, error) {
	o, err := w.get(ctx, key)
	switch {
	case errors.Is(err, objectstore.ErrNotFound):
		return config.Object{}, &NotFoundError{Key: key}
	case err != nil:
		return config.Object{}, &UnavailableError{Err: err}
	}
	return o, nil
}

func (w *Writer) get(ctx context.Context, key string) (config.Object, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := w.options.Store.Get(callCtx, key)
	return config.Object{Key: o.Key, Version: uint64(o.Version), Value: o.Value}, err
}

// Validate checks an object by itself and against the platform's current tree.
// It changes nothing.
//
// It lists the tree first, because a router whose copy lags might otherwise
// accept a workspace's name that is already in use. Two writes of different
// objects at the same moment can still conflict; every router's view then
// resolves the conflict in the same way.
func (w *Writer) Validate(ctx context.Context, key string, value []byte) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	objects, _, err := w.options.Store.List(callCtx, config.Prefix)
	if err != nil {
		return &UnavailableError{Err: err}
	}
	w.options.Source.applyList(toConfigObjects(objects))
	return w.options.Source.CheckWith(key, value)
}

// Write replaces an object if its version is equal to expected; zero means that
// it must not exist yet. The newest change in the value's history must have the
// ID of this change. Errors are *config.Error, *ConflictError,
// *UnavailableError or *UnknownOutcomeError; only with the last may the object
// have been changed.
func (w *Writer) Write(ctx context.Context, key string, value []byte, expected uint64) (uint64, error) {
	changes, err := requireHistory(key, value)
	if err != nil {
		return 0, err
	}
	if err := w.Validate(ctx, key, value); err != nil {
		return 0, err
	}
	p := &pendingWrite{writer: w, key: key, value: value, expected: expected, changeID: changes[len(changes)-1].ID}
	version, err := p.run(ctx)
	w.logWrite(p, version, err)
	if err != nil {
		return 0, err
	}
	w.options.Source.applyWritten(config.Object{Key: key, Version: version, Value: value})
	return version, nil
}

func (w *Writer) logWrite(p *pendingWrite, version uint64, err error) {
	line := w.options.Log.Info()
	if err != nil {
		line = w.options.Log.Warn().Err(err)
	}
	line.Str("event", "config_write").Str("key", p.key).Str("change", p.changeID).
		Uint64("expected", p.expected).Uint64("version", version).Bool("answer_lost", p.answerLost).Send()
}

// requireHistory returns the changes in an object's history. It returns an
// error unless the last one has an ID.
func requireHistory(key string, value []byte) ([]config.Change, error) {
	changes, err := config.HistoryOf(key, value)
	if err != nil {
		return nil, err
	}
	if len(changes) == 0 || changes[len(changes)-1].ID == "" {
		return nil, &config.Error{Faults: []config.Fault{{Path: "history", Reason: "must end with the change that writes the object"}}}
	}
	return changes, nil
}

// pendingWrite is one conditional write until its outcome is determined.
type pendingWrite struct {
	writer   *Writer
	key      string
	value    []byte
	expected uint64
	changeID string
	// answerLost is set once an answer was lost, so that the outcome is
	// unknown.
	answerLost bool
	// lastErr is the platform's last error.
	lastErr error
}

// run sends the write and, if its answer is lost, determines its outcome.
//
// Without that, an operator whose answer was lost might repeat a change that
// another has replaced since, or rely on a change that was never made. The read
// looks for the change ID in the object's history, so it recognises the write
// even below later ones. If the object is still at the expected version, the
// first write may still arrive. It is sent again under the same condition, so
// that only one of the two can take effect.
func (p *pendingWrite) run(ctx context.Context) (uint64, error) {
	version, done, err := p.put(ctx)
	if done {
		return version, err
	}
	// The operator's connection may end now, but the outcome is still needed.
	ctx = context.WithoutCancel(ctx)
	for range resolveAttempts {
		p.writer.options.Sleep(ctx, resolveInterval/2+rand.N(resolveInterval))
		if version, done, err := p.resolve(ctx); done {
			return version, err
		}
	}
	return 0, &UnknownOutcomeError{Key: p.key, ChangeID: p.changeID, Err: p.lastErr}
}

// put sends the write once. It returns false for done if the outcome is
// unknown.
func (p *pendingWrite) put(ctx context.Context) (version uint64, done bool, err error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	written, err := p.writer.options.Store.Put(callCtx, p.key, p.value, objectstore.Version(p.expected))
	var conflict *objectstore.ConflictError
	switch {
	case err == nil:
		return uint64(written), true, nil
	case errors.As(err, &conflict):
		return p.afterConflict(ctx, uint64(conflict.Current))
	case errors.Is(err, objectstore.ErrUnavailable) && !p.answerLost:
		return 0, true, &UnavailableError{Err: err}
	}
	p.lastErr = err
	p.answerLost = true
	return 0, false, nil
}

// resolve reads the object back, and sends the write again if the object has
// not changed.
func (p *pendingWrite) resolve(ctx context.Context) (uint64, bool, error) {
	found, err := p.writer.get(ctx, p.key)
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		p.lastErr = err
		return 0, false, nil
	}
	if version, ok := p.versionWritten(found); ok {
		return version, true, nil
	}
	if found.Version == p.expected {
		return p.put(ctx)
	}
	if found.Version < p.expected {
		p.lastErr = fmt.Errorf("the platform shows version %d, older than %d", found.Version, p.expected)
		return 0, false, nil
	}
	return 0, true, p.conflictWith(found)
}

// afterConflict determines the winner of a conflict. The winner may be this
// change itself, if a transport sent it twice or if an operator repeated it
// after a lost answer. A copy older than the version that won cannot show that.
func (p *pendingWrite) afterConflict(ctx context.Context, current uint64) (uint64, bool, error) {
	found, err := p.writer.get(ctx, p.key)
	if version, ok := p.versionWritten(found); err == nil && ok {
		return version, true, nil
	}
	if err == nil && found.Version >= current {
		return 0, true, p.conflictWith(found)
	}
	if p.answerLost {
		p.lastErr = fmt.Errorf("version %d won and cannot be read yet", current)
		return 0, false, nil
	}
	return 0, true, &ConflictError{Key: p.key, Expected: p.expected, Version: current}
}

// versionWritten reports whether the object's history contains this change, and
// returns the version that it produced.
func (p *pendingWrite) versionWritten(found config.Object) (uint64, bool) {
	changes, err := config.HistoryOf(p.key, found.Value)
	if err != nil {
		return 0, false
	}
	return config.VersionOf(changes, p.changeID, found.Version)
}

func (p *pendingWrite) conflictWith(found config.Object) error {
	conflict := &ConflictError{Key: p.key, Expected: p.expected, Version: found.Version}
	changes, err := config.HistoryOf(p.key, found.Value)
	if err == nil && len(changes) > 0 {
		conflict.Winner = changes[len(changes)-1]
	}
	return conflict
}
