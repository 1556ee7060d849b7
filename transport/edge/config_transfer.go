package edge

import (
	"errors"
	"slices"

	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/protocol/wire"
)

// maxEarlierConfigs is the number of previous configurations that are kept, so
// that a peer which holds one of them only receives the difference.
// maxEarlierConfigBytes limits their total size.
const (
	maxEarlierConfigs     = 4
	maxEarlierConfigBytes = 2 << 20
)

// errUnknownBase reports a configuration that is a delta of a revision which
// this router does not hold.
var errUnknownBase = errors.New("edge: the object is a delta of an unknown revision")

// replaceConfig stores a new configuration and keeps the current one among the
// earlier ones. The caller holds the lock.
func (c *catalogue) replaceConfig(o Object) {
	if c.config.Revision > 0 {
		c.earlierConfigs = append(c.earlierConfigs, c.config)
	}
	size := 0
	for _, e := range c.earlierConfigs {
		size += len(e.Spec)
	}
	for len(c.earlierConfigs) > maxEarlierConfigs || size > maxEarlierConfigBytes {
		size -= len(c.earlierConfigs[0].Spec)
		c.earlierConfigs = slices.Delete(c.earlierConfigs, 0, 1)
	}
	c.config = o
	c.encodedConfigs = make(map[uint64][]byte)
}

// configRef returns the name and revision of the current configuration.
func (c *catalogue) configRef() Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Object{Name: c.config.Name, Revision: c.config.Revision}
}

// encodedConfig returns the current configuration for a peer that holds
// heldRevision of it, or 0 if it holds none. A large configuration is encoded
// as a delta of that revision, if this router still holds it.
func (c *catalogue) encodedConfig(heldRevision uint64) (*peerpb.ConfigObject, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.config.Revision == 0 {
		return nil, false
	}
	o := &peerpb.ConfigObject{Key: objectKey(KindConfig, c.config.Name), Version: c.config.Revision}
	if len(c.config.Spec) < announceMinBytes {
		o.Value = c.config.Spec
		return o, true
	}
	base, ok := c.configSpecAt(heldRevision)
	if ok {
		o.Base = heldRevision
	}
	value, ok := c.encodedConfigs[o.GetBase()]
	if !ok {
		value = wire.Compress(c.config.Spec, base)
		c.encodedConfigs[o.GetBase()] = value
	}
	o.Compressed, o.Value = true, value
	return o, true
}

// encodedLastChange returns the current configuration as a delta of the
// previous one.
func (c *catalogue) encodedLastChange() (*peerpb.ConfigObject, bool) {
	c.mu.Lock()
	before := uint64(0)
	if len(c.earlierConfigs) > 0 {
		before = c.earlierConfigs[len(c.earlierConfigs)-1].Revision
	}
	c.mu.Unlock()
	if before == 0 {
		return nil, false
	}
	return c.encodedConfig(before)
}

// configSpecAt returns the content of the current or an earlier configuration
// by its revision. The caller holds the lock.
func (c *catalogue) configSpecAt(revision uint64) ([]byte, bool) {
	if revision == 0 {
		return nil, false
	}
	for _, e := range append(c.earlierConfigs, c.config) {
		if e.Revision == revision {
			return e.Spec, true
		}
	}
	return nil, false
}

// decodeSpec returns the decompressed content of an object that a peer sent.
func (c *catalogue) decodeSpec(m *peerpb.ConfigObject) ([]byte, error) {
	if !m.GetCompressed() {
		return m.GetValue(), nil
	}
	c.mu.Lock()
	base, ok := c.configSpecAt(m.GetBase())
	c.mu.Unlock()
	if !ok && m.GetBase() != 0 {
		return nil, errUnknownBase
	}
	return wire.Decompress(m.GetValue(), base)
}
