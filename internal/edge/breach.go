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
	gatherBroken = 30 * time.Millisecond
	// abortRetention is how long aborted exchanges are kept, to be attributed to a crash if
	// the target turns out to have restarted.
	keepBroken = 5 * time.Second
)

// abortGroup holds the exchanges with one target that were aborted at about the same time.
type breach struct {
	target steer.Target
	prints []crash.Print
	until  time.Time // the group is removed then
	over   bool      // the probe has not shown that the target ended

	planned bool // the target was leaving, or removed from the store
	ended   bool // the target's end was recorded as a crash
}

// exchangeAborted records an exchange that a target aborted. A probe then shows whether the
// target has ended or only this answer was lost.
func (c *crashes) broke(now time.Time, target steer.Target, p crash.Print) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.broken, func(_ string, b *breach) bool { return !now.Before(b.until) })
	if c.recent.Has(now, p) {
		return
	}
	b := c.broken[target.ID]
	if b == nil || b.over || !b.target.Started.Equal(target.Started) {
		b = &breach{target: target, until: now.Add(keepBroken), planned: !c.node.serving(target)}
		c.broken[target.ID] = b
		go c.look(b)
	}
	if b.ended {
		c.report(target, []crash.Print{p})
		return
	}
	if !slices.Contains(b.prints, p) {
		b.prints = append(b.prints, p)
	}
}

// probe connects to a target that aborted exchanges: if nothing listens at its address, it
// has ended.
func (c *crashes) look(b *breach) {
	time.Sleep(gatherBroken)
	err := c.node.pool.Reach(context.Background(), b.target.ID, b.target.Address)
	found := "unknown"
	switch {
	case err == nil:
		found = "lives"
	case errors.Is(err, syscall.ECONNREFUSED):
		found = "ended"
	}
	c.node.cfg.Metrics.Decided(metrics.Decision{Kind: "broken-off", Service: b.target.Service, Reason: found})
	serving := c.node.serving(b.target)
	c.mu.Lock()
	defer c.mu.Unlock()
	b.over = found != "ended"
	b.planned = b.planned || !serving
	if found == "ended" {
		c.ended(b)
	}
}

// targetRestarted records a target's restart. If it aborted exchanges just before, it ended
// while it ran them and was back before the probe.
func (c *crashes) restarted(now time.Time, target steer.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.broken[target.ID]
	if b != nil && now.Before(b.until) && b.target.Started.Before(target.Started) {
		c.ended(b)
	}
}

// targetEnded records the end of a group's target. A planned stop is no crash: the same
// requests may be in flight at several targets that leave one after the other. c.mu is held.
func (c *crashes) ended(b *breach) {
	if !b.ended && !b.planned {
		b.ended = true
		c.report(b.target, b.prints)
	}
}

// streamedAnswer is the rest of an answer's body that is passed on while it is received. The
// target may end meanwhile.
type longAnswer struct {
	io.ReadCloser

	crashes *crashes
	target  steer.Target
	print   crash.Print
}

// Read reads from the body, and records how the answer ends.
func (a *longAnswer) Read(b []byte) (int, error) {
	n, err := a.ReadCloser.Read(b)
	switch {
	case err == nil || isTimeout(err):
	case err == io.EOF:
		a.crashes.answered(boottime.Now(), a.print)
	default:
		a.crashes.broke(boottime.Now(), a.target, a.print)
	}
	return n, err
}

// isServing reports whether a target is still registered and not leaving.
func (n *Node) serving(t steer.Target) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	known, ok := n.fleet.Target(t.ID)
	return ok && !known.Leaving
}
