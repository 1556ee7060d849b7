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
	maxEarlier      = 4
	maxEarlierBytes = 2 << 20
)

// errBaseUnknown says that an object builds on a revision that is not held.
var errBaseUnknown = errors.New("edge: the object builds on an unknown revision")

// replaceConfig keeps the configuration in force among the earlier ones and takes
// a new one. The caller holds the lock.
func (c *catalogue) replaceConfig(o Object) {
	if c.config.Revision > 0 {
		c.earlier = append(c.earlier, c.config)
	}
	size := 0
	for _, e := range c.earlier {
		size += len(e.Spec)
	}
	for len(c.earlier) > maxEarlier || size > maxEarlierBytes {
		size -= len(c.earlier[0].Spec)
		c.earlier = slices.Delete(c.earlier, 0, 1)
	}
	c.config = o
	c.encoded = make(map[uint64][]byte)
}

// configName returns the name and revision of the configuration that is held.
func (c *catalogue) configName() Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Object{Name: c.config.Name, Revision: c.config.Revision}
}

// encodedConfig returns the configuration for a peer that holds a revision of it,
// 0 for none.
func (c *catalogue) encodedConfig(held uint64) (*peerpb.ConfigObject, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.config.Revision == 0 {
		return nil, false
	}
	o := &peerpb.ConfigObject{Key: objectKey(KindConfig, c.config.Name), Version: c.config.Revision}
	if len(c.config.Spec) < announceFrom {
		o.Value = c.config.Spec
		return o, true
	}
	base, ok := c.specAt(held)
	if ok {
		o.Base = held
	}
	value, ok := c.encoded[o.GetBase()]
	if !ok {
		value = wire.Compress(c.config.Spec, base)
		c.encoded[o.GetBase()] = value
	}
	o.Compressed, o.Value = true, value
	return o, true
}

// lastChange returns the configuration as what changed since the one before.
func (c *catalogue) lastChange() (*peerpb.ConfigObject, bool) {
	c.mu.Lock()
	before := uint64(0)
	if len(c.earlier) > 0 {
		before = c.earlier[len(c.earlier)-1].Revision
	}
	c.mu.Unlock()
	if before == 0 {
		return nil, false
	}
	return c.encodedConfig(before)
}

// specAt returns the configuration at an earlier revision. The caller holds the
// lock.
func (c *catalogue) specAt(revision uint64) ([]byte, bool) {
	if revision == 0 {
		return nil, false
	}
	for _, e := range append(c.earlier, c.config) {
		if e.Revision == revision {
			return e.Spec, true
		}
	}
	return nil, false
}

// decompress returns what a peer sent of an object.
func (c *catalogue) decompress(m *peerpb.ConfigObject) ([]byte, error) {
	if !m.GetCompressed() {
		return m.GetValue(), nil
	}
	c.mu.Lock()
	base, ok := c.specAt(m.GetBase())
	c.mu.Unlock()
	if !ok && m.GetBase() != 0 {
		return nil, errBaseUnknown
	}
	return wire.Decompress(m.GetValue(), base)
}
