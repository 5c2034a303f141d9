package once

import (
	"fmt"
	"strings"
	"time"

	"github.com/firlever/firlever/internal/deadline"
	"github.com/firlever/firlever/internal/invariant"
)

// Book holds the records of one incarnation's keys.
type Book struct {
	cfg     Config
	issuer  *Issuer
	checks  *invariant.Counter
	records map[[numberSize]byte]*record
	expiry  deadline.Heap[*record] // records to be dropped; one that is under way past its deadline is not in it
	latest  time.Time              // never goes back, so that a clock set back can't revive a key whose record is gone
	bytes   int                    // of records and answers; never over cfg.Bytes
	running int                    // records without an outcome
	closed  bool
	counts  [verdictKindCount]uint64
}

// New makes the book of one incarnation. cfg must be valid; checks may be nil.
func New(cfg Config, issuer *Issuer, checks *invariant.Counter) *Book {
	return &Book{
		cfg:     cfg,
		issuer:  issuer,
		checks:  checks,
		records: make(map[[numberSize]byte]*record),
	}
}

// Issue makes a key. Its life is cut to Config.Life. A key takes no memory here
// until it begins.
func (b *Book) Issue(now, until time.Time) Key {
	now = b.monotonicNow(now)
	last := now.Add(b.cfg.Life)
	if until.After(last) {
		until = last
	}
	return b.issuer.Issue(until)
}

// Begin says what to do with a request that brings key. After VerdictRun the
// one who asked must call Dispatch just before the first byte goes to a target,
// and Finish in any case.
func (b *Book) Begin(now time.Time, key Key, fp Fingerprint, request string) Verdict {
	v := b.begin(b.monotonicNow(now), key, fp, request)
	b.counts[v.Kind]++
	return v
}

func (b *Book) begin(now time.Time, key Key, fp Fingerprint, request string) Verdict {
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

// checkKey judges a key by itself; 0 means that it is genuine and at home.
func (b *Book) checkKey(key Key) VerdictKind {
	switch {
	case key.instance == b.issuer.instance && key.incarnation < b.issuer.incarnation:
		return VerdictGone
	case !b.issuer.IsHomeOf(key):
		return VerdictForeign
	case !b.issuer.Genuine(key):
		return VerdictForged
	default:
		return 0
	}
}

func (b *Book) startFirst(now time.Time, key Key, fp Fingerprint, request string) Verdict {
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

// startAgain lets a request run anew after a proof that nothing ran.
func (b *Book) startAgain(now time.Time, r *record, request string) Verdict {
	if !now.Before(r.until) {
		return Verdict{Kind: VerdictExpired}
	}
	if b.closed {
		return Verdict{Kind: VerdictClosed}
	}
	return b.start(r, request)
}

func (b *Book) start(r *record, request string) Verdict {
	r.outcome = Outcome{}
	r.attempt++
	r.requestID = strings.Clone(request[:min(len(request), maxRequestID)])
	b.running++
	return Verdict{Kind: VerdictRun, Attempt: r.attempt}
}

// Dispatch is called just before the first byte goes to a target, and says
// whether it may go. When the key's deadline has passed the attempt ends as
// OutcomeNotRun.
func (b *Book) Dispatch(now time.Time, key Key, attempt uint32) bool {
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
		return fmt.Sprintf("key %s dispatched %d times without a proof between", key, r.dispatches)
	})
	return true
}

// Withdraw says that the dispatch of this attempt is proved to have run
// nothing, so that the same attempt may dispatch to another target. It returns
// false, and changes nothing, without a proof or for a past attempt.
func (b *Book) Withdraw(key Key, attempt uint32, proof Proof) bool {
	r := b.activeRecord(key, attempt)
	if r == nil || proof == ProofNone {
		return false
	}
	r.dispatches = 0
	return true
}

// Finish records how an attempt ended, and returns the outcome on record, which
// is the one that callers must be told: OutcomeNotRun without a proof after a
// dispatch becomes OutcomeUnknown. It returns false for a past attempt, which
// changes nothing.
func (b *Book) Finish(now time.Time, key Key, attempt uint32, outcome Outcome) (Outcome, bool) {
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

// activeRecord returns the record of an attempt that is under way, or nil.
func (b *Book) activeRecord(key Key, attempt uint32) *record {
	if !b.issuer.Genuine(key) {
		return nil
	}
	r := b.records[key.number]
	if r == nil || !r.running() || r.attempt != attempt {
		return nil
	}
	return r
}

func (b *Book) endAttempt(r *record, outcome Outcome) {
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
	if r.heapIndex == deadline.Absent {
		b.expiry.Push(r)
	}
}

// monotonicNow returns now, or the latest time seen if the monotonicNow has gone back.
func (b *Book) monotonicNow(now time.Time) time.Time {
	if now.After(b.latest) {
		b.latest = now
	}
	return b.latest
}
