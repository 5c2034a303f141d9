//go:build linux

package soak

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	"github.com/firlever/firlever/internal/emulator/link"
	"github.com/firlever/firlever/internal/emulator/store"
	"github.com/firlever/firlever/internal/notice"
)

// injectFault starts a random fault and returns its description. The fault ends by itself, and
// others may overlap it.
func (c *cluster) injectFault() string {
	e := c.edges[c.rng.IntN(len(c.edges))]
	t := c.targets[c.rng.IntN(len(c.targets))]
	length := time.Duration(100+c.rng.IntN(1200)) * time.Millisecond
	switch c.rng.IntN(22) {
	case 0:
		c.startFault(e.name, func() { e.stop(false); time.Sleep(length / 4); e.start() })
		return "kill " + e.name
	case 1:
		c.startFault(e.name, func() { e.stop(true); e.start() })
		return "stop gracefully " + e.name
	case 2:
		c.startFault(e.name, func() { e.signal(syscall.SIGSTOP); time.Sleep(length); e.signal(syscall.SIGCONT) })
		return "pause " + e.name
	case 15, 16:
		// Emulates the suspension of a machine, which also stops the monotonic clock: the process
		// is stopped, and SIGUSR2 then advances its boot-time clock (see package boottime).
		c.startFault(e.name, func() {
			e.signal(syscall.SIGSTOP)
			time.Sleep(length)
			e.signal(syscall.SIGUSR2)
			e.signal(syscall.SIGCONT)
		})
		return "suspend " + e.name
	case 3:
		e.signal(syscall.SIGHUP)
		return "reload " + e.name
	case 4, 5:
		f := []link.Fault{{Partition: true}, {Refuse: true}, {Delay: 60 * time.Millisecond}, {Loss: 0.3}}[c.rng.IntN(4)]
		c.injectLinkFault([]string{e.name}, "store", f, length)
		return fmt.Sprintf("link from %s to the store: %+v", e.name, f)
	case 6, 7:
		f := []link.Fault{{Partition: true}, {Refuse: true}, {Delay: 100 * time.Millisecond}, {Loss: 0.3}}[c.rng.IntN(4)]
		c.injectLinkFault(c.edgeNames(), t.domain, f, length)
		return fmt.Sprintf("link to the targets of %s: %+v", t.domain, f)
	case 8:
		f := storeFaults[c.rng.IntN(len(storeFaults))]
		c.startFault("store", func() { c.store.SetFaults(f); time.Sleep(length); c.store.SetFaults(store.Faults{}) })
		return fmt.Sprintf("store: %+v", f)
	case 9:
		c.store.DropHistory()
		return "store drops its history"
	case 10:
		c.store.RevokeLeases()
		return "store revokes all leases"
	case 11:
		c.startFault(t.name, func() { t.faultPercent.Store(60); time.Sleep(length); t.faultPercent.Store(3) })
		return "faulty answers from " + t.name
	case 12:
		for _, t := range c.targets {
			c.startFault(t.name, func() { t.faultPercent.Store(60); time.Sleep(length); t.faultPercent.Store(3) })
		}
		return "faulty answers from all targets"
	case 17:
		n := notice.Notice{HasLimit: true, Limit: float64(c.rng.IntN(40)) / 2}
		c.setNotice([]*target{t}, n, 3*length)
		return fmt.Sprintf("%s announces %+v", t.name, n)
	case 18, 19:
		n := notice.Notice{BackOff: 2 * length}
		c.setNotice([]*target{t}, n, length)
		return fmt.Sprintf("%s announces %+v", t.name, n)
	case 20:
		n := []notice.Notice{{BackOff: length}, {HasLimit: true, Limit: 10}}[c.rng.IntN(2)]
		c.setNotice(c.targets, n, length)
		return fmt.Sprintf("all targets announce %+v", n)
	case 21:
		c.announceLeaving()
		return "a target announces that it is leaving"
	case 13:
		c.replaceTarget()
		return "replace a target"
	default:
		c.writeConfig()
		return "write the next configuration"
	}
}

// storeFaults are the temporary faults of the store.
var storeFaults = []store.Faults{
	{Refuse: true},
	{Silent: true},
	{SuppressEvents: true},
	{Delay: 300 * time.Millisecond},
	{LoseShare: 0.5},
	{LateShare: 0.5, Delay: time.Second},
}

// startFault runs inject in the background, unless a fault of the same subject is active.
func (c *cluster) startFault(subject string, inject func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.activeFaults[subject] {
		return
	}
	c.activeFaults[subject] = true
	c.background.Go(func() {
		inject()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.activeFaults[subject] = false
	})
}

// edgeNames returns the names of all instances.
func (c *cluster) edgeNames() []string {
	var names []string
	for _, e := range c.edges {
		names = append(names, e.name)
	}
	return names
}

// injectLinkFault injects a fault into the links from some instances, in one direction or in both at
// random.
func (c *cluster) injectLinkFault(from []string, to string, fault link.Fault, length time.Duration) {
	both := c.rng.IntN(2) == 0
	c.startFault(strings.Join(from, "")+to, func() {
		c.notices.addFaults(to, 1)
		defer c.notices.addFaults(to, -1)
		c.setLinks(from, to, fault, both)
		time.Sleep(length)
		c.setLinks(from, to, link.Fault{}, true)
	})
}

// setLinks sets a fault of the links from some instances, and also of the links back if both is set.
func (c *cluster) setLinks(from []string, to string, fault link.Fault, both bool) {
	for _, name := range from {
		c.links.Set(name, to, fault)
		if both {
			c.links.Set(to, name, fault)
		}
	}
}

// partitionStream separates the random stream for partitions from the targets from the other streams
// of the same seed.
const partitionStream = 0x9a7

// faultsPerPartition is the average number of other faults for each partition from the targets.
const faultsPerPartition = 6

// maybePartition partitions some instances from all targets at random: one, those of a failure
// domain, half, or all. It returns a description, "" if it doesn't.
func (c *cluster) maybePartition() string {
	rng := c.partitionRNG
	if rng.IntN(faultsPerPartition) != 0 {
		return ""
	}
	names := c.edgeNames()
	cut := [][]string{names[:1], names[1:2], {names[0], names[2]}, names[:2], names}[rng.IntN(5)]
	fault := []link.Fault{{Partition: true}, {Refuse: true}, {RefuseNew: true}}[rng.IntN(3)]
	length := time.Duration(300+rng.IntN(2000)) * time.Millisecond
	c.startFault("targets", func() {
		for _, domain := range []string{"n1", "n2"} {
			c.notices.addFaults(domain, 1)
			defer c.notices.addFaults(domain, -1)
			c.setLinks(cut, domain, fault, true)
		}
		time.Sleep(length)
		for _, domain := range []string{"n1", "n2"} {
			c.setLinks(cut, domain, link.Fault{}, true)
		}
	})
	return fmt.Sprintf("%v partitioned from all targets: %+v, %s", cut, fault, length)
}

// maxSnapshots limits the snapshots of the store that are kept, so the oldest is a few seconds old.
const maxSnapshots = 20

// faultsPerRestore is the average number of other faults for each restore of the store.
const faultsPerRestore = 8

// maybeRestore takes a snapshot of the store. At random it also restores the store from an earlier
// one, mostly after an outage, and writes the changes that were lost again after a delay. It returns
// a description of the restore, "" if there is none.
func (c *cluster) maybeRestore() string {
	c.snapshots = append(c.snapshots, c.store.TakeSnapshot())
	c.snapshots = c.snapshots[max(0, len(c.snapshots)-maxSnapshots):]
	if c.restoreRNG.IntN(faultsPerRestore) != 0 {
		return ""
	}
	k := c.restoreRNG.IntN(len(c.snapshots))
	snapshot := c.snapshots[k]
	c.snapshots = c.snapshots[:k+1]
	fault := append(storeFaults[:2:2], store.Faults{})[c.restoreRNG.IntN(3)]
	length := time.Duration(c.restoreRNG.IntN(1200)) * time.Millisecond
	rewriteDelay := time.Duration(c.restoreRNG.IntN(1500)) * time.Millisecond
	c.startFault("store", func() {
		c.store.SetFaults(fault)
		time.Sleep(length)
		c.store.RestoreSnapshot(snapshot)
		c.store.SetFaults(store.Faults{})
		time.Sleep(rewriteDelay)
		c.store.RedoExternalWrites()
	})
	return fmt.Sprintf("store restored, back by %d of %d snapshots: %+v, lost changes rewritten after %s", maxSnapshots-k, maxSnapshots, fault, rewriteDelay)
}

// finalRestore restores the store from the oldest snapshot, after all faults have ended. Later
// changes reuse revisions that the store has assigned before.
func (c *cluster) finalRestore() {
	c.store.RestoreSnapshot(c.snapshots[0])
	time.Sleep(time.Duration(c.restoreRNG.IntN(500)) * time.Millisecond)
	c.store.RedoExternalWrites()
	c.writeConfig()
}

// replaceTarget drains the oldest target and adds another one.
func (c *cluster) replaceTarget() {
	old := c.targets[0]
	c.targets = c.targets[1:]
	c.addTarget()
	c.removed = append(c.removed, old)
	old.register(c.store, "draining", 0)
	c.background.Go(func() {
		time.Sleep(leavingTime)
		old.mu.Lock()
		old.closed = true // so that it does not restart after a crash
		old.mu.Unlock()
		c.store.Remove("servers/" + old.id())
	})
}

// leavingTime is how long a draining target still serves.
const leavingTime = 2 * time.Second
