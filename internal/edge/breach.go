package edge

import (
	"context"
	"errors"
	"io"
	"maps"
	"slices"
	"syscall"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/crash"
	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/internal/steer"
)

const (
	// probeDelay is the time from a target's first aborted exchange to the probe. If the
	// process has ended, its other exchanges are aborted within that time too.
	probeDelay = 30 * time.Millisecond
	// abortRetention is how long aborted exchanges are kept, to be attributed to a crash if
	// the target turns out to have restarted.
	abortRetention = 5 * time.Second
)

// abortGroup holds the exchanges with one target that were aborted at about the same time.
type abortGroup struct {
	target       steer.Target
	fingerprints []crash.Fingerprint
	expires      time.Time // the group is removed then
	dismissed    bool      // the probe has not shown that the target ended

	plannedStop bool // the target was leaving, or removed from the store
	crashed     bool // the target's end was recorded as a crash
}

// exchangeAborted records an exchange that a target aborted. A probe then shows whether the
// target has ended or only this answer was lost.
func (c *crashTracker) exchangeAborted(now time.Time, target steer.Target, p crash.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.aborted, func(_ string, b *abortGroup) bool { return !now.Before(b.expires) })
	if c.recent.Has(now, p) {
		return
	}
	b := c.aborted[target.ID]
	if b == nil || b.dismissed || !b.target.Started.Equal(target.Started) {
		b = &abortGroup{target: target, expires: now.Add(abortRetention), plannedStop: !c.node.isServing(target)}
		c.aborted[target.ID] = b
		go c.probe(b)
	}
	if b.crashed {
		c.reportCrash(target, []crash.Fingerprint{p})
		return
	}
	if !slices.Contains(b.fingerprints, p) {
		b.fingerprints = append(b.fingerprints, p)
	}
}

// probe connects to a target that aborted exchanges: if nothing listens at its address, it
// has ended.
func (c *crashTracker) probe(b *abortGroup) {
	aborted := boottime.Now()
	time.Sleep(probeDelay)
	err := c.node.pool.CheckConnection(context.Background(), b.target.ID, b.target.Address)
	found := "unknown"
	switch {
	case err == nil:
		found = "lives"
	case errors.Is(err, syscall.ECONNREFUSED):
		found = "ended"
	}
	if found == "ended" && !c.node.partition.confirmReached(aborted) {
		found = "unknown" // what failed is the path to all targets
	}
	c.node.cfg.Metrics.CountDecision(metrics.Decision{Kind: "broken-off", Service: b.target.Service, Reason: found})
	serving := c.node.isServing(b.target)
	c.mu.Lock()
	defer c.mu.Unlock()
	b.dismissed = found != "ended"
	b.plannedStop = b.plannedStop || !serving
	if found == "ended" {
		c.targetEnded(b)
	}
}

// targetRestarted records a target's restart. If it aborted exchanges just before, it ended
// while it ran them and was back before the probe.
func (c *crashTracker) targetRestarted(now time.Time, target steer.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.aborted[target.ID]
	if b != nil && now.Before(b.expires) && b.target.Started.Before(target.Started) {
		c.targetEnded(b)
	}
}

// targetEnded records the end of a group's target. A planned stop is no crash: the same
// requests may be in flight at several targets that leave one after the other. c.mu is held.
func (c *crashTracker) targetEnded(b *abortGroup) {
	if !b.crashed && !b.plannedStop {
		b.crashed = true
		c.reportCrash(b.target, b.fingerprints)
	}
}

// streamedAnswer is the rest of an answer's body that is passed on while it is received. The
// target may end meanwhile.
type streamedAnswer struct {
	io.ReadCloser

	tracker     *crashTracker
	target      steer.Target
	fingerprint crash.Fingerprint
}

// Read reads from the body, and records how the answer ends.
func (a *streamedAnswer) Read(b []byte) (int, error) {
	n, err := a.ReadCloser.Read(b)
	switch {
	case err == nil || isTimeout(err):
	case err == io.EOF:
		a.tracker.answered(boottime.Now(), a.fingerprint)
	default:
		a.tracker.exchangeAborted(boottime.Now(), a.target, a.fingerprint)
	}
	return n, err
}

// isServing reports whether a target is still registered and not leaving.
func (n *Node) isServing(t steer.Target) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	known, ok := n.fleet.Target(t.ID)
	return ok && !known.Leaving
}
