package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/protocol/wire"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/transport/peer"
)

// vmListInterval is the interval at which the platform's VM list is read. The
// list itself lags, so reading it more often than every few seconds finds
// nothing more, and each read counts against the platform's rate limit.
const vmListInterval = 2 * time.Second

// roleRouter is the role of routers on the platform's VM list. A VM with any
// other role is an upstream, whose name is that of the VM.
const roleRouter = "router"

// peerSet holds the last set of live routers that was passed to the scheduler.
type peerSet struct {
	mu    sync.Mutex
	peers []scheduler.Peer
}

// others returns the names of all live routers except self.
func (p *peerSet) others(self state.Router) []state.Router {
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []state.Router
	for _, known := range p.peers {
		if known.Router != self {
			names = append(names, known.Router)
		}
	}
	return names
}

func (d *Daemon) onPeers(peers []scheduler.Peer) {
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	d.peers.peers = slices.Clone(peers)
	d.post(scheduler.PeersChanged{Peers: peers})
	d.claims.SetRouterCount(len(peers))
}

// onSession restarts the exchange with a peer from full state. Messages may
// have been lost with an older session: a lost grant or decline would keep a
// slot reserved until it expires, and a lost counter would distort the shares
// for good. The scheduler is informed that the peer was removed and came back.
func (d *Daemon) onSession(p peer.Session) {
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	remaining := slices.DeleteFunc(slices.Clone(d.peers.peers), func(known scheduler.Peer) bool {
		return known.Router == p.Router
	})
	d.post(scheduler.PeersChanged{Peers: remaining})
	d.post(scheduler.PeersChanged{Peers: slices.Clone(d.peers.peers)})
	d.sendVersions(p.Router)
	d.sendAdminURL(p.Router)
}

func (d *Daemon) onEnvelope(from peer.Peer, env *peerpb.Envelope) {
	switch body := env.GetBody().(type) {
	case *peerpb.Envelope_ConfigVersions:
		d.onVersions(from.Router, body.ConfigVersions)
	case *peerpb.Envelope_ConfigRequest:
		d.onConfigRequest(from.Router, body.ConfigRequest)
	case *peerpb.Envelope_Advert:
		d.adminURLs.set(from.Router, body.Advert.GetAdminUrl())
	case *peerpb.Envelope_ConfigObject:
		d.onConfigObject(body.ConfigObject)
	default:
		d.onSchedulerMessage(from, env)
	}
}

func (d *Daemon) onSchedulerMessage(from peer.Peer, env *peerpb.Envelope) {
	ev, err := wire.ToEvent(from.Router, from.Incarnation, env)
	if err != nil {
		d.metrics.AddCount("peer_messages_refused", 1)
		d.log.Warn().Err(err).Str("peer", string(from.Router)).Msg("message refused")
		return
	}
	d.post(ev)
}

// announcedVersions holds the settings versions that have been announced to all
// live peers.
type announcedVersions struct {
	mu       sync.Mutex
	versions map[string]uint64
}

// update returns the versions that have not been announced yet and records them
// as announced.
func (a *announcedVersions) update(current map[string]uint64) map[string]uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	changed := make(map[string]uint64)
	for key, version := range current {
		if a.versions[key] != version {
			changed[key] = version
		}
	}
	a.versions = current
	return changed
}

// announceSettings announces to all peers which versions have come into force
// on this router. With hundreds of teams, sending the whole list at every
// change would be most of the cost of a change. A peer that was disconnected
// receives the whole list when it connects again.
func (d *Daemon) announceSettings() {
	changed := d.announcedVersions.update(d.source.Versions())
	if len(changed) > 0 {
		d.link.Broadcast(versionsEnvelope(changed))
	}
}

func (d *Daemon) sendVersions(to state.Router) {
	d.link.Send(to, versionsEnvelope(d.source.Versions()))
}

func versionsEnvelope(versions map[string]uint64) *peerpb.Envelope {
	message := &peerpb.ConfigVersions{}
	for key, version := range versions {
		message.Versions = append(message.Versions, &peerpb.ConfigVersion{Key: key, Version: version})
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_ConfigVersions{ConfigVersions: message}}
}

func (d *Daemon) onVersions(from state.Router, message *peerpb.ConfigVersions) {
	announced := make(map[string]uint64, len(message.GetVersions()))
	for _, v := range message.GetVersions() {
		announced[v.GetKey()] = v.GetVersion()
	}
	missing := d.source.MissingKeys(announced)
	if len(missing) == 0 {
		return
	}
	request := &peerpb.ConfigRequest{Keys: missing}
	d.link.Send(from, &peerpb.Envelope{Body: &peerpb.Envelope_ConfigRequest{ConfigRequest: request}})
}

func (d *Daemon) onConfigRequest(from state.Router, message *peerpb.ConfigRequest) {
	for _, key := range message.GetKeys() {
		object, ok := d.source.Object(key)
		if !ok {
			continue
		}
		answer := &peerpb.ConfigObject{Key: object.Key, Version: object.Version, Value: object.Value}
		d.link.Send(from, &peerpb.Envelope{Body: &peerpb.Envelope_ConfigObject{ConfigObject: answer}})
	}
}

func (d *Daemon) onConfigObject(message *peerpb.ConfigObject) {
	err := d.source.ApplyFromPeer(message.GetKey(), message.GetVersion(), message.GetValue())
	if err != nil {
		d.log.Warn().Err(err).Str("key", message.GetKey()).Msg("settings refused")
	}
}

// followVMs reads the platform's VM list at each interval until the context
// ends.
func (d *Daemon) followVMs(ctx context.Context) {
	ticker := time.NewTicker(vmListInterval)
	defer ticker.Stop()
	for {
		d.readVMs(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (d *Daemon) readVMs(ctx context.Context) {
	vms, err := d.store.VMs(ctx)
	if err != nil {
		d.metrics.AddCount("vm_list_failures", 1)
		return
	}
	var routers []string
	for _, vm := range vms {
		switch {
		case vm.Role == roleRouter && !vm.Leaving:
			routers = append(routers, vm.Address)
		case vm.Role != roleRouter && vm.Leaving:
			d.post(scheduler.UpstreamLeaving{Upstream: state.Upstream(vm.Name)})
		}
	}
	d.mesh.AddSeeds(routers)
}
