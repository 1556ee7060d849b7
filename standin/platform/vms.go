package platform

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/figstile/figstile/transport/objectstore"
)

// vmHistory holds the list of VMs after each change, oldest first.
type vmHistory []vmList

// vmList is a list of VMs and the time from which it applies.
type vmList struct {
	since time.Time
	vms   map[string]objectstore.VM
}

// at returns the list that applied at a time; it is nil before the first
// change.
func (h vmHistory) at(t time.Time) map[string]objectstore.VM {
	for _, list := range slices.Backward(h) {
		if !list.since.After(t) {
			return list.vms
		}
	}
	return nil
}

// VMs implements objectstore.Store.
func (s *Store) VMs(ctx context.Context) ([]objectstore.VM, error) { return s.vmsWithLag(ctx, 0) }

// vmsWithLag returns the list of VMs as it was the given lag ago.
func (s *Store) vmsWithLag(ctx context.Context, lag time.Duration) ([]objectstore.VM, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := slices.Collect(maps.Values(s.vms.at(s.opts.Now().Add(-lag))))
	slices.SortFunc(list, func(a, b objectstore.VM) int { return strings.Compare(a.Name, b.Name) })
	return list, nil
}

// PutVM adds a VM to the list or replaces it.
func (s *Store) PutVM(vm objectstore.VM) {
	s.changeVMs(func(vms map[string]objectstore.VM) { vms[vm.Name] = vm })
}

// DeleteVM removes a VM from the list.
func (s *Store) DeleteVM(name string) {
	s.changeVMs(func(vms map[string]objectstore.VM) { delete(vms, name) })
}

// changeVMs appends a changed copy of the list and keeps the earlier lists,
// which reads with a lag still return.
func (s *Store) changeVMs(change func(map[string]objectstore.VM)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Now()
	vms := maps.Clone(s.vms.at(now))
	if vms == nil {
		vms = make(map[string]objectstore.VM)
	}
	change(vms)
	s.vms = append(s.vms, vmList{since: now, vms: vms})
}
