// Package core takes the decisions of one entry instance: where each request goes, when
// it waits, and when it is refused. It has no sockets, files, timers or clock. Its
// environment, the shell, passes it events and carries out its decisions.
package core

import (
	"slices"
	"time"

	"github.com/firlever/firlever/internal/block"
	"github.com/firlever/firlever/internal/grant"
	"github.com/firlever/firlever/internal/invariant"
	"github.com/firlever/firlever/internal/once"
	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/internal/partition"
	"github.com/firlever/firlever/internal/queue"
	"github.com/firlever/firlever/internal/retry"
	"github.com/firlever/firlever/pkg/settings"
)

// Node is the state of one entry instance. It is not safe for concurrent use.
type Node struct {
	cfg      Config
	snapshot *settings.Snapshot // nil until the first documents arrive
	blocks   *block.Table

	confirmedUntil time.Time // before then, no document that must be in force everywhere is missing in snapshot; zero until confirmed; never decreases

	peers       peerList
	peerSlots   map[string]slotEstimates // estimates of each peer's free slots
	lastSeen    map[string]lastSeen
	lookupUntil map[string]time.Time // until when callers may cache a look-up that names an instance

	grants     *grant.Table            // granted to peers
	holdings   *grant.Holdings         // granted by peers
	demands    map[destination]*demand // for hand-offs to other places
	askedUntil time.Time               // when the requests for grants sent so far would be done at the maximum rate

	owners *owner.Table
	roster rosterState

	requests    map[ID]*inFlight
	queue       *queue.Queue
	once        *once.Table
	retry       retry.Policy
	services    map[settings.ServiceID]*serviceState // of the snapshot
	addresses   map[owner.TargetKey]string           // of the place's targets
	reports     map[owner.TargetKey]int              // requests in progress that targets last reported, for baselines
	probes      map[owner.TargetKey]time.Time        // next probe of each target
	probeAt     time.Time                            // earliest time at which a probe may be due
	capBasis    capBasis                             // what the shift caps were last computed from
	started     time.Time
	quarantine  []quarantinedSlot // slots of aborted attempts, oldest first
	crashes     crashTracker
	reach       reach
	stopping    bool
	keysCloseAt time.Time // when a planned stop stops accepting keyed requests

	out []Decision // decisions of the current step
}

// New creates a node. It returns a *ConfigError if cfg is invalid.
func New(cfg Config, now time.Time) (*Node, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	n := &Node{
		cfg:         cfg,
		peerSlots:   make(map[string]slotEstimates),
		lastSeen:    make(map[string]lastSeen),
		lookupUntil: make(map[string]time.Time),
		holdings:    grant.NewHoldings(),
		demands:     make(map[destination]*demand),
		requests:    make(map[ID]*inFlight),
		services:    make(map[settings.ServiceID]*serviceState),
		addresses:   make(map[owner.TargetKey]string),
		probes:      make(map[owner.TargetKey]time.Time),
		reports:     make(map[owner.TargetKey]int),
		crashes:     newCrashTracker(),
		reach:       reach{detector: partition.New()},
		started:     now,
	}
	if err := n.build(); err != nil {
		return nil, err
	}
	return n, nil
}

// Step processes one event and returns the resulting decisions, which are valid until the
// next call.
func (n *Node) Step(now time.Time, ev Event) []Decision {
	n.out = n.out[:0]
	switch ev := ev.(type) {
	case Arrived:
		n.arrived(now, ev)
	case Finished:
		n.finished(now, ev)
	case ConnectionEnded:
		n.connectionEnded(now, ev)
	case Cancelled:
		n.cancelled(now, ev)
	case FreeSlotsReceived:
		n.freeSlotsReceived(now, ev)
	case GrantReceived:
		n.grantReceived(now, ev)
	case PeersChanged:
		n.peersChanged(now, ev)
	case Applied:
		n.applySnapshot(now, ev.Snapshot)
	case SettingsConfirmed:
		n.confirmedUntil = later(n.confirmedUntil, ev.Until)
	case RosterRead:
		n.rosterRead(now, ev)
	case RosterReceived:
		n.setRoster(now, ev.Roster)
	case PeerAcked:
		n.owners.RecordAck(ev.Peer, ev.Incarnation, ev.Sent, ev.Roster)
	case Listed:
		n.listed(now, ev)
	case Released:
		n.owners.RecordRelease(now, ev.Release)
		n.serveQueue(now)
	case SwapFailed:
		n.owners.AbandonRemoval(ev.Removed)
	case Probed:
		n.probed(now, ev)
	case NoticeReceived:
		n.noticeReceived(now, ev)
	case CrashesReceived:
		n.crashesReceived(now, ev.Update)
	case Stopping:
		n.stop(now)
	case Tick:
		n.tick(now)
	}
	return slices.Clone(n.out)
}

// Waiting reports whether something waits for time to pass, so that a late tick would be
// noticeable.
func (n *Node) Waiting() bool { return n.queue.Len() > 0 || len(n.quarantine) > 0 }

// tick performs all work that depends on time alone.
func (n *Node) tick(now time.Time) {
	n.expire(now)
	n.releaseQuarantined(now)
	n.once.Sweep(now)
	n.closeKeys(now)
	n.grants.Sweep(now)
	n.expireCrashes(now)
	if n.snapshot != nil {
		n.maintainReach(now)
		n.updateCaps(now)
		n.probeDue(now)
		n.maintainGrants(now)
	}
	n.maintainRoster(now)
	n.serveQueue(now)
}

// expire refuses the requests that have waited too long. A request that the caller
// cancelled at the same moment has already been refused.
func (n *Node) expire(now time.Time) {
	for _, item := range n.queue.Expire(now) {
		if f, ok := n.requests[ID(item.ID)]; ok {
			n.refuse(now, f, ReasonDeadline)
		}
	}
}

func (n *Node) decide(d Decision) { n.out = append(n.out, d) }

func (n *Node) check(name invariant.Name, ok bool, detail func() string) {
	n.cfg.Checks.Check(name, ok, detail)
}
