// Package partition detects that an instance is partitioned from all targets. A failed attempt
// alone doesn't tell whether its target or the instance's own network has failed; failures at
// several targets are a reason to probe others, and the probes decide.
//
// The package does no input or output and is not safe for concurrent use.
package partition

import (
	"maps"
	"time"
)

const (
	// minSuspects is how many targets must fail, without an answer of any in between, before
	// others are probed: one alone has probably failed itself.
	minSuspects = 2
	// suspicionTTL is how long a failure counts.
	suspicionTTL = 2 * time.Second
	// silence is how long no target has answered anything before connections without an answer count
	// as unreached: busy targets answer a health check late, but some request of an instance ends.
	silence = 3 * time.Second
	// checkGap is the least time between two checks of an instance that reaches its targets.
	checkGap = 500 * time.Millisecond
	// partitionedCheckGap is the time between two checks of an instance that is partitioned.
	partitionedCheckGap = 400 * time.Millisecond
)

// Failure is an attempt that failed on its connection.
type Failure struct {
	Target  string
	Began   time.Time // when the attempt began
	Connect bool      // no connection could be opened
}

// Result is what one probe found.
type Result int

// Values of Result.
const (
	Unreached Result = iota // no connection could be opened
	Connected               // a connection was opened, and nothing was answered
	Answered
)

// String returns the name of the result for log lines.
func (r Result) String() string { return [...]string{"unreached", "connected", "answered"}[r] }

// Detector decides whether an instance is partitioned from all targets.
type Detector struct {
	partitioned bool
	inUse       int                  // targets that the instance uses; 0: unknown, and not a few
	since       time.Time            // when the first attempt of a row of failures began
	suspects    map[string]suspicion // by target: its last failure, which no answer has refuted
	answeredAt  time.Time            // last answer of any target
	freshAt     time.Time            // opening of the latest connection that carried an answer
	checking    bool                 // a check is under way
	checkBegan  time.Time            // begin of the last check, or of the one under way
	nextCheck   time.Time            // none begins before
}

// suspicion is the last failure of a target.
type suspicion struct {
	at      time.Time
	connect bool // no connection could be opened
}

// New returns a detector of an instance that reaches its targets.
func New() *Detector { return &Detector{suspects: make(map[string]suspicion)} }

// Partitioned reports whether the instance is partitioned from all targets.
func (d *Detector) Partitioned() bool { return d.partitioned }

// Since returns when the first attempt of the present partition failed; zero if there is none.
func (d *Detector) Since() time.Time {
	if !d.partitioned {
		return time.Time{}
	}
	return d.since
}

// RecordAnswer records an answer of a target on a connection that was opened at a time. It ends no
// partition: open connections may work while new ones are refused.
func (d *Detector) RecordAnswer(now, opened time.Time) {
	d.answeredAt = now
	if opened.After(d.freshAt) {
		d.freshAt = opened
	}
	maps.DeleteFunc(d.suspects, func(_ string, s suspicion) bool { return !s.connect || opened.After(s.at) })
}

// RecordFailure records a failure and reports whether targets should be probed now.
func (d *Detector) RecordFailure(now time.Time, f Failure) bool {
	refuted := d.answeredAt
	if f.Connect {
		refuted = d.freshAt
	}
	if d.partitioned || refuted.After(f.Began) {
		return false
	}
	maps.DeleteFunc(d.suspects, func(_ string, s suspicion) bool { return now.Sub(s.at) > suspicionTTL })
	if len(d.suspects) == 0 {
		d.since = f.Began
	}
	d.suspects[f.Target] = suspicion{at: now, connect: f.Connect}
	return len(d.suspects) >= d.needed() && !now.Before(d.nextCheck) && d.BeginCheck(now)
}

// SetTargets sets how many targets the instance uses. Of fewer than two, one that fails is enough.
func (d *Detector) SetTargets(n int) { d.inUse = n }

// needed returns how many targets must fail before others are probed.
func (d *Detector) needed() int {
	if d.inUse > 0 {
		return min(minSuspects, d.inUse)
	}
	return minSuspects
}

// BeginCheck records that a check begins. It reports false if one is under way.
func (d *Detector) BeginCheck(now time.Time) bool {
	if d.checking {
		return false
	}
	d.checking, d.checkBegan = true, now
	return true
}

// CheckedSince reports whether the last check, or the one under way, began no earlier than a time.
func (d *Detector) CheckedSince(t time.Time) bool { return !d.checkBegan.Before(t) }

// AnsweredSince reports whether some target has answered after a time.
func (d *Detector) AnsweredSince(t time.Time) bool { return d.answeredAt.After(t) }

// EndCheck records what the probes of a check found, and reports whether that changed the state.
// Without targets to probe there is no partition from them.
func (d *Detector) EndCheck(now time.Time, results []Result) bool {
	d.checking = false
	before := d.partitioned
	d.partitioned = len(results) > 0 && !d.reached(now, results)
	d.nextCheck = now.Add(checkGap)
	if d.partitioned {
		d.nextCheck = now.Add(partitionedCheckGap)
	}
	if !d.partitioned {
		clear(d.suspects)
	} else if !before && d.since.IsZero() {
		d.since = d.checkBegan
	}
	return d.partitioned != before
}

// reached reports whether the results show that some target is reachable. A connection on which
// nothing is answered may end at a proxy whose own path is cut, or at a target that is busy; it counts
// if some target has answered lately.
func (d *Detector) reached(now time.Time, results []Result) bool {
	connected := false
	for _, r := range results {
		if r == Answered {
			return true
		}
		connected = connected || r == Connected
	}
	return connected && now.Sub(d.answeredAt) < silence
}

// NextCheck returns when a partitioned instance is to be checked again.
func (d *Detector) NextCheck() time.Time { return d.nextCheck }
