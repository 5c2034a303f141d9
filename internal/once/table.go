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
func (t *Table) Issue(now, until time.Time) Key {
	now = t.monotonicNow(now)
	last := now.Add(t.cfg.Life)
	if until.After(last) {
		until = last
	}
	return t.issuer.Issue(until)
}

// Begin decides how to handle a request that carries key. After VerdictRun,
// Dispatch must be called immediately before the first byte is sent to a target,
// and Finish in every case.
func (t *Table) Begin(now time.Time, key Key, fp Fingerprint, request string) Verdict {
	v := t.begin(t.monotonicNow(now), key, fp, request)
	t.counts[v.Kind]++
	return v
}

func (t *Table) begin(now time.Time, key Key, fp Fingerprint, request string) Verdict {
	if kind := t.checkKey(key); kind != 0 {
		return Verdict{Kind: kind}
	}
	r := t.records[key.number]
	if r == nil {
		return t.startFirst(now, key, fp, request)
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
		return t.startAgain(now, r, request)
	default:
		return Verdict{Kind: VerdictRunning, RequestID: r.requestID}
	}
}

// checkKey checks where a key was issued and its MAC. It returns 0 if this incarnation
// issued the key.
func (t *Table) checkKey(key Key) VerdictKind {
	switch {
	case key.instance == t.issuer.instance && key.incarnation < t.issuer.incarnation:
		return VerdictHomeRestarted
	case !t.issuer.IsHomeOf(key):
		return VerdictForeign
	case !t.issuer.Genuine(key):
		return VerdictForged
	default:
		return 0
	}
}

func (t *Table) startFirst(now time.Time, key Key, fp Fingerprint, request string) Verdict {
	switch {
	case !now.Before(key.Until()):
		return Verdict{Kind: VerdictExpired}
	case t.closed:
		return Verdict{Kind: VerdictClosed}
	case len(t.records) >= t.cfg.Records || t.bytes+recordSize > t.cfg.Bytes:
		return Verdict{Kind: VerdictFull}
	}
	r := &record{number: key.number, fingerprint: fp, until: key.Until()}
	t.records[key.number] = r
	t.bytes += recordSize
	t.expiry.Push(r)
	return t.start(r, request)
}

// startAgain starts another attempt after an attempt that is proved not to have run.
func (t *Table) startAgain(now time.Time, r *record, request string) Verdict {
	if !now.Before(r.until) {
		return Verdict{Kind: VerdictExpired}
	}
	if t.closed {
		return Verdict{Kind: VerdictClosed}
	}
	return t.start(r, request)
}

func (t *Table) start(r *record, request string) Verdict {
	r.outcome = Outcome{}
	r.attempt++
	r.requestID = strings.Clone(request[:min(len(request), maxRequestID)])
	t.running++
	return Verdict{Kind: VerdictRun, Attempt: r.attempt}
}

// Dispatch must be called immediately before the first byte is sent to a target,
// and reports whether it may be sent. If the key's deadline has passed, the
// attempt ends as OutcomeNotRun.
func (t *Table) Dispatch(now time.Time, key Key, attempt uint32) bool {
	now = t.monotonicNow(now)
	r := t.activeRecord(key, attempt)
	if r == nil || r.dispatches > 0 {
		return false
	}
	if !now.Before(r.until) {
		t.endAttempt(r, Outcome{Kind: OutcomeNotRun})
		return false
	}
	r.dispatches++
	t.checks.Check(invariant.AtMostOnce, r.dispatches <= maxDispatches && t.records[key.number] == r, func() string {
		return fmt.Sprintf("key %s dispatched %d times without proof in between that nothing ran", key, r.dispatches)
	})
	return true
}

// Withdraw records proof that the dispatch of this attempt ran nothing. The same
// attempt may then dispatch to another target. Without a proof, or for an attempt
// that is not the running one, it changes nothing and returns false.
func (t *Table) Withdraw(key Key, attempt uint32, proof Proof) bool {
	r := t.activeRecord(key, attempt)
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
func (t *Table) Finish(now time.Time, key Key, attempt uint32, outcome Outcome) (Outcome, bool) {
	t.monotonicNow(now)
	r := t.activeRecord(key, attempt)
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
	t.endAttempt(r, outcome)
	return r.outcome, true
}

// activeRecord returns the record of the given attempt, or nil if that attempt is not
// running.
func (t *Table) activeRecord(key Key, attempt uint32) *record {
	if !t.issuer.Genuine(key) {
		return nil
	}
	r := t.records[key.number]
	if r == nil || !r.running() || r.attempt != attempt {
		return nil
	}
	return r
}

func (t *Table) endAttempt(r *record, outcome Outcome) {
	if outcome.Kind == OutcomeNotRun {
		t.checks.Check(invariant.NotRunTrue, r.dispatches == 0, func() string {
			return fmt.Sprintf("request %s recorded as not run after a dispatch", r.requestID)
		})
	}
	if n := outcome.size(); n > t.cfg.Answer || t.bytes+n > t.cfg.Bytes {
		outcome = Outcome{Kind: outcome.Kind, Status: outcome.Status, Dropped: true}
	}
	t.bytes += outcome.size()
	t.running--
	r.outcome = outcome
	if r.heapIndex == deadline.NotInHeap {
		t.expiry.Push(r)
	}
}

// monotonicNow returns now, or the latest time observed if the clock was set back.
func (t *Table) monotonicNow(now time.Time) time.Time {
	if now.After(t.latest) {
		t.latest = now
	}
	return t.latest
}
