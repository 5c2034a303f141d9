//go:build linux

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	slots       = 8               // of each target
	keptObjects = 4               // that a target keeps warm: together the targets keep nearly all
	coldFactor  = 3               // by how much longer a request for another object runs
	slowShare   = 6               // one in this many periods of a target is slow
	slowFactor  = 2.5             // by how much longer requests run then
	burstEach   = 6               // one in this many events begins a burst
	burstSize   = 3 * callerCount // additional callers
	workStream  = 0x30b           // separates the random stream of work from the other streams of a seed
	burstStream = 0xb05           // the same for bursts
)

// work emulates how long a target works: requests for objects that it has not run lately take longer,
// and at times all do, as it shares its machine with others.
type work struct {
	mu      sync.Mutex
	rng     *rand.Rand // guarded by mu
	running int        // guarded by mu
	warm    []string   // objects, the latest last; guarded by mu
}

func newWork(seed uint64) *work { return &work{rng: rand.New(rand.NewPCG(seed, workStream))} }

// begin records a request for an object, and returns how long it runs and what the target reports of
// its load.
func (w *work) begin(object string) (time.Duration, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running++
	length := time.Duration(2+w.rng.IntN(10)) * time.Millisecond
	if i := slices.Index(w.warm, object); i >= 0 {
		w.warm = slices.Delete(w.warm, i, i+1)
	} else {
		length *= coldFactor
	}
	w.warm = append(w.warm, object)
	if len(w.warm) > keptObjects {
		w.warm = w.warm[1:]
	}
	speed := "100"
	if w.rng.IntN(slowShare) == 0 {
		length, speed = time.Duration(slowFactor*float64(length)), "250"
	}
	// Targets may leave the speed out, or report one that says nothing.
	reported := []string{"," + speed, "," + speed, "," + speed, "", ",", ",-3", ",0", ",many", ",99999999999999999999"}
	return length, fmt.Sprintf("%d,%d,%d", min(w.running, slots), max(0, w.running-slots), slots) + reported[w.rng.IntN(len(reported))]
}

// end records the end of a request.
func (w *work) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
}

// maybeBurst starts additional callers for a while at random. It returns a description, "" if it
// doesn't.
func (c *cluster) maybeBurst(seed uint64) string {
	if c.burstRNG.IntN(burstEach) != 0 {
		return ""
	}
	length := time.Duration(300+c.burstRNG.IntN(700)) * time.Millisecond
	c.bursts++
	for k := range burstSize {
		cl := c.newCaller(seed^burstStream, c.bursts*burstSize+k)
		cl.name = fmt.Sprintf("b%d-%d", c.bursts, k)
		c.background.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), length)
			defer cancel()
			cl.run(ctx)
		})
	}
	return fmt.Sprintf("burst of %d callers for %s", burstSize, length)
}
