package edge

import (
	"errors"
	"slices"

	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/protocol/wire"
)

// maxEarlier is how many earlier configurations are kept to send only what
// changed since one, and maxEarlierBytes what they may take together.
const (
	maxEarlierConfigs     = 4
	maxEarlierConfigBytes = 2 << 20
)

// errUnknownBase says that an object builds on a revision that is not held.
var errUnknownBase = errors.New("edge: the object builds on an unknown revision")

// replaceConfig keeps the configuration in force among the earlier ones and takes
// a new one. The caller holds the lock.
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

// configRef returns the name and revision of the configuration that is held.
func (c *catalogue) configRef() Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Object{Name: c.config.Name, Revision: c.config.Revision}
}

// encodedConfig returns the configuration for a peer that holds a revision of it,
// 0 for none.
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

// encodedLastChange returns the configuration as what changed since the one before.
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

// configSpecAt returns the configuration at an earlier revision. The caller holds the
// lock.
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

// decodeSpec returns what a peer sent of an object.
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
