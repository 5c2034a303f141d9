package once

import (
	"fmt"
	"strings"
	"time"

	"github.com/firlever/firlever/internal/deadline"
	"github.com/firlever/firlever/internal/invariant"
)

// Table holds the idempotency records of one incarnation's keys.
type Table struct {
	cfg     Config
	issuer  *Issuer
	checks  *invariant.Counter
	records map[[numberSize]byte]*record
	expiry  deadline.Heap[*record] // records by deadline; one that is still running past its deadline is not in it
	latest  time.Time              // latest time observed; never decreases, or a clock set back could make a key valid again whose record was dropped
	bytes   int                    // memory counted for records and answers; at most cfg.Bytes
	running int                    // records without an outcome
	closed  bool
	counts  [verdictKindCount]uint64
}

// New returns an empty table for the incarnation of issuer. cfg must be valid;
// checks may be nil.
func New(cfg Config, issuer *Issuer, checks *invariant.Counter) *Table {
	return &Table{
		cfg:     cfg,
		issuer:  issuer,
		checks:  checks,
		records: make(map[[numberSize]byte]*record),
	}
}

// Issue returns a new key that is valid until the given time, but for no longer
// than Config.Life. A key takes no memory in the table until Begin.
func (b *Table) Issue(now, until time.Time) Key {
	now = b.monotonicNow(now)
	last := now.Add(b.cfg.Life)
	if until.After(last) {
		until = last
	}
	return b.issuer.Issue(until)
}

// Begin decides how to handle a request that carries key. After VerdictRun,
// Dispatch must be called immediately before the first byte is sent to a target,
// and Finish in every case.
func (b *Table) Begin(now time.Time, key Key, fp Fingerprint, request string) Verdict {
	v := b.begin(b.monotonicNow(now), key, fp, request)
	b.counts[v.Kind]++
	return v
}

func (b *Table) begin(now time.Time, key Key, fp Fingerprint, request string) Verdict {
	if kind := b.checkKey(key); kind != 0 {
		return Verdict{Kind: kind}
	}
	r := b.records[key.number]
	if r == nil {
		return b.startFirst(now, key, fp, request)
	}
	if r.fingerprint != fp {
		return Verdict{Kind: VerdictMismatch}
	}
	switch r.outcome.Kind {
	case OutcomeAnswered:
		return Verdict{Kind: VerdictAnswered, RequestID: r.requestID, Outcome: r.outcome}
	case OutcomeUnknown:
		return Verdict{Kind: VerdictUnknown, RequestID: r.requestID}
	case OutcomeNotRun:
		return b.startAgain(now, r, request)
	default:
		return Verdict{Kind: VerdictRunning, RequestID: r.requestID}
	}
}

// checkKey checks where a key was issued and its MAC. It returns 0 if this incarnation
// issued the key.
func (b *Table) checkKey(key Key) VerdictKind {
	switch {
	case key.instance == b.issuer.instance && key.incarnation < b.issuer.incarnation:
		return VerdictHomeRestarted
	case !b.issuer.IsHomeOf(key):
		return VerdictForeign
	case !b.issuer.Genuine(key):
		return VerdictForged
	default:
		return 0
	}
}

func (b *Table) startFirst(now time.Time, key Key, fp Fingerprint, request string) Verdict {
	switch {
	case !now.Before(key.Until()):
		return Verdict{Kind: VerdictExpired}
	case b.closed:
		return Verdict{Kind: VerdictClosed}
	case len(b.records) >= b.cfg.Records || b.bytes+recordSize > b.cfg.Bytes:
		return Verdict{Kind: VerdictFull}
	}
	r := &record{number: key.number, fingerprint: fp, until: key.Until()}
	b.records[key.number] = r
	b.bytes += recordSize
	b.expiry.Push(r)
	return b.start(r, request)
}

// startAgain starts another attempt after an attempt that is proved not to have run.
func (b *Table) startAgain(now time.Time, r *record, request string) Verdict {
	if !now.Before(r.until) {
		return Verdict{Kind: VerdictExpired}
	}
	if b.closed {
		return Verdict{Kind: VerdictClosed}
	}
	return b.start(r, request)
}

func (b *Table) start(r *record, request string) Verdict {
	r.outcome = Outcome{}
	r.attempt++
	r.requestID = strings.Clone(request[:min(len(request), maxRequestID)])
	b.running++
	return Verdict{Kind: VerdictRun, Attempt: r.attempt}
}

// Dispatch must be called immediately before the first byte is sent to a target,
// and reports whether it may be sent. If the key's deadline has passed, the
// attempt ends as OutcomeNotRun.
func (b *Table) Dispatch(now time.Time, key Key, attempt uint32) bool {
	now = b.monotonicNow(now)
	r := b.activeRecord(key, attempt)
	if r == nil || r.dispatches > 0 {
		return false
	}
	if !now.Before(r.until) {
		b.endAttempt(r, Outcome{Kind: OutcomeNotRun})
		return false
	}
	r.dispatches++
	b.checks.Check(invariant.AtMostOnce, r.dispatches <= maxDispatches && b.records[key.number] == r, func() string {
		return fmt.Sprintf("key %s dispatched %d times without proof in between that nothing ran", key, r.dispatches)
	})
	return true
}

// Withdraw records proof that the dispatch of this attempt ran nothing. The same
// attempt may then dispatch to another target. Without a proof, or for an attempt
// that is not the running one, it changes nothing and returns false.
func (b *Table) Withdraw(key Key, attempt uint32, proof Proof) bool {
	r := b.activeRecord(key, attempt)
	if r == nil || proof == ProofNone {
		return false
	}
	r.dispatches = 0
	return true
}

// Finish records how an attempt ended and returns the recorded outcome, which is
// the one to report to callers: OutcomeNotRun without a proof after a dispatch
// becomes OutcomeUnknown. For an attempt that is not the running one it changes
// nothing and returns false.
func (b *Table) Finish(now time.Time, key Key, attempt uint32, outcome Outcome) (Outcome, bool) {
	b.monotonicNow(now)
	r := b.activeRecord(key, attempt)
	if r == nil {
		return Outcome{}, false
	}
	switch {
	case outcome.Kind == OutcomeNotRun && outcome.Proof != ProofNone:
		r.dispatches = 0
	case outcome.Kind == OutcomeNotRun && r.dispatches > 0:
		outcome = Outcome{Kind: OutcomeUnknown}
	case outcome.Kind != OutcomeNotRun && outcome.Kind != OutcomeAnswered:
		outcome = Outcome{Kind: OutcomeUnknown}
	}
	b.endAttempt(r, outcome)
	return r.outcome, true
}

// activeRecord returns the record of the given attempt, or nil if that attempt is not
// running.
func (b *Table) activeRecord(key Key, attempt uint32) *record {
	if !b.issuer.Genuine(key) {
		return nil
	}
	r := b.records[key.number]
	if r == nil || !r.running() || r.attempt != attempt {
		return nil
	}
	return r
}

func (b *Table) endAttempt(r *record, outcome Outcome) {
	if outcome.Kind == OutcomeNotRun {
		b.checks.Check(invariant.NotRunTrue, r.dispatches == 0, func() string {
			return fmt.Sprintf("request %s recorded as not run after a dispatch", r.requestID)
		})
	}
	if n := outcome.size(); n > b.cfg.Answer || b.bytes+n > b.cfg.Bytes {
		outcome = Outcome{Kind: outcome.Kind, Status: outcome.Status, Dropped: true}
	}
	b.bytes += outcome.size()
	b.running--
	r.outcome = outcome
	if r.heapIndex == deadline.NotInHeap {
		b.expiry.Push(r)
	}
}

// monotonicNow returns now, or the latest time observed if the clock was set back.
func (b *Table) monotonicNow(now time.Time) time.Time {
	if now.After(b.latest) {
		b.latest = now
	}
	return b.latest
}
