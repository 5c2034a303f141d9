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
	// gatherBroken is how long the broken exchanges of a target are gathered before it is
	// looked for: they all break with its process.
	gatherBroken = 30 * time.Millisecond
	// keepBroken is how long they are kept to be blamed, if the target is found to have
	// started anew.
	keepBroken = 5 * time.Second
)

// breach is the exchanges of a target that broke at the same time.
type breach struct {
	target steer.Target
	prints []crash.Print
	until  time.Time // it is forgotten then
	over   bool      // the target was looked for and not found to have ended

	planned bool // the target was leaving, or gone from the store
	ended   bool // the target is known to have ended
}

// broke notes that a target broke an exchange off. Whether the target has ended, or has lost
// one answer, shows when it is looked for.
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

// look looks for a target that broke exchanges off: if nothing listens at its address any
// more, it has ended.
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

// restarted notes that a target has started anew: if it broke exchanges off just before, it
// ended under them, and was back before it was looked for.
func (c *crashes) restarted(now time.Time, target steer.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.broken[target.ID]
	if b != nil && now.Before(b.until) && b.target.Started.Before(target.Started) {
		c.ended(b)
	}
}

// ended notes that the target of a breach has ended. A planned end is no crash: the same
// requests may be at several targets that leave one after the other. c.mu is held.
func (c *crashes) ended(b *breach) {
	if !b.ended && !b.planned {
		b.ended = true
		c.report(b.target, b.prints)
	}
}

// longAnswer is the rest of an answer that goes out while it comes in. Its target may end
// meanwhile.
type longAnswer struct {
	io.ReadCloser

	crashes *crashes
	target  steer.Target
	print   crash.Print
}

// Read reads on, and takes in how the answer ends.
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

// serving says whether a target is still known, and is not about to leave.
func (n *Node) serving(t steer.Target) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	known, ok := n.fleet.Target(t.ID)
	return ok && !known.Leaving
}
