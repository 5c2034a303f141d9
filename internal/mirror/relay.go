package mirror

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/platform"
)

// RelayPath is the path under which an instance passes on the changes of the store. Few instances of
// a region follow the store, and the others follow them, because a call to the store costs as much
// as a request earns, or more. The number in the path is the version of the answer format.
const RelayPath = "/changes/3"

const (
	// relayWait is how long a peer's poll waits for changes. The answer also shows that the relay
	// is alive and how old its data is.
	relayWait = 700 * time.Millisecond
	// relayTimeout is how long an answer may take: relayWait and some round trips between regions.
	// A dead relay is given up by then, which leaves half a second of a bound of 2 s to read the
	// store.
	relayTimeout = 1200 * time.Millisecond
	// relayMaxAge is how old a relay's data may be for instances that aren't relays themselves. A
	// relay checks the store every second, and lists it if its watch has missed something. An
	// instance that gives up a relay with older data checks the store at once, so that changes are
	// known within 1.7 s.
	relayMaxAge = checkInterval + checkGrace + 200*time.Millisecond
	// twoHopMaxAge is the same for instances behind two relays, the most that there are.
	twoHopMaxAge = relayMaxAge + relayWait
	// minDirectDelay and directSpread bound how long after the failure of its relay an instance
	// behind two relays reads the store if it can follow none. A relay of the second tier needs
	// longer than relayTimeout to turn to the store, and its followers poll it again after
	// staleBackoff.
	minDirectDelay = 2500 * time.Millisecond
	directSpread   = time.Second
	// relayStagger is by how much sooner each relay gives up the relays before it than the next one
	// does, so that it has read the store by the time it is polled itself.
	relayStagger = 100 * time.Millisecond
	// relayBackoff is how long a relay that gave no answer isn't polled, and staleBackoff the same
	// for one with data that was too old, as that one mostly finds a peer within a second. An
	// instance without a relay calls the store up to 7 times a second; with 5 s for both, 91
	// instances made 4,476 calls instead of 3,001 on a day with outages.
	relayBackoff = 5 * time.Second
	staleBackoff = time.Second
	// paramAnyAge is the query parameter with which a peer accepts data of any age.
	paramAnyAge = "any"
	// paramPartial is the query parameter with which a peer accepts a part of the changes.
	paramPartial = "partial"
	// paramMaxAge is the query parameter that bounds the age of the data that a peer accepts, in
	// milliseconds.
	paramMaxAge = "age"
	// headerAge holds how old an answer's data was when the poll arrived, negative if the store has
	// confirmed it since, and headerRemoveDelay how long removals in it are still delayed, both in
	// milliseconds.
	headerAge         = "Firlever-Age"
	headerRemoveDelay = "Firlever-Settling"
	// headerStoreBehind is set if the store has lost a part of the relay's view. A peer that has
	// read the store directly since then needs the whole view.
	headerStoreBehind = "Firlever-Ahead"
	// maxAnswerBytes bounds an answer of a relay: the whole history at today's sizes, and some
	// configurations of 1 MB.
	maxAnswerBytes = 16 << 20
)

// relayAnswer is the JSON form of a relay's answer.
type relayAnswer struct {
	Whole    bool              `json:"whole"`             // the events are all items, not the changes since
	Gaps     bool              `json:"gaps,omitempty"`    // the events aren't all changes since
	Partial  bool              `json:"partial,omitempty"` // more changes follow the events
	Events   []relayEvent      `json:"events"`
	Kept     []relayEvent      `json:"kept,omitempty"`   // if whole: items of the view that the store lacks or has an older state of
	Hidden   []relayEvent      `json:"hidden,omitempty"` // if whole: items that the store holds and the view lacks
	Revision platform.Revision `json:"revision"`
}

type relayEvent struct {
	Key     string            `json:"key"`
	Text    string            `json:"text,omitempty"`  // the value, if it is valid UTF-8
	Value   []byte            `json:"value,omitempty"` // the value otherwise
	Changed platform.Revision `json:"changed"`
	Created platform.Revision `json:"created,omitzero"`
	Removed bool              `json:"removed,omitempty"`
}

// ServeHTTP answers a peer with the changes since a revision as soon as there are any, or with none
// after relayWait. If not all of them are kept, the answer is the whole view. Status 503 means that
// the data is too old, and nothing newer is there or on the way: neither the store nor a peer with
// current data can be reached, or instances follow each other in a circle. A peer that has no data yet accepts it at any age.
func (m *Mirror) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrivedAt := boottime.Now()
	var since platform.Revision
	if err := since.UnmarshalText([]byte(r.URL.Query().Get("since"))); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	limit := relayMaxAge
	if ms, err := strconv.ParseUint(r.URL.Query().Get(paramMaxAge), 10, 16); err == nil {
		limit = min(twoHopMaxAge, time.Duration(ms)*time.Millisecond)
	}
	e := m.view.history.since(arrivedAt, since)
	starting := r.URL.Query().Get(paramAnyAge) != ""
	if starting && e.revision.IsZero() && m.tellProgress(w) {
		return
	}
	atAnyAge := starting && !e.revision.IsZero()
	if !atAnyAge {
		e = m.awaitChanges(r.Context(), since, limit)
	}
	if boottime.Since(e.confirmedAt) > limit && !atAnyAge && !e.revision.After(since) && !e.catchingUp {
		m.sink.Answered(AnswerTooOld)
		http.Error(w, "store data is too old", http.StatusServiceUnavailable)
		return
	}
	if r.URL.Query().Has(paramPartial) {
		e = e.bounded()
	}
	a, confirmedAt, err := m.encodeAt(boottime.Now(), since, e, limit)
	if err != nil {
		m.sink.AnswerFailed(err)
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if starting {
		if others, ok := m.holders.admit(boottime.Now(), r.URL.Query().Get(paramFrom), a.size(r)); !ok {
			w.Header().Set(headerHolders, strings.Join(others, ","))
			http.Error(w, "sending to others", http.StatusServiceUnavailable)
			return
		}
	}
	w.Header().Set(headerAge, strconv.FormatInt(ageMilliseconds(arrivedAt.Sub(confirmedAt)), 10))
	if e.storeBehind {
		w.Header().Set(headerStoreBehind, "1")
	}
	w.Header().Set(headerRemoveDelay, strconv.FormatInt(e.removeDelay.Milliseconds(), 10))
	m.sink.Answered(e.kind())
	a.write(w, r)
}

// tellProgress answers a peer that starts while this instance has no data yet, but will soon. It
// reports whether it did.
func (m *Mirror) tellProgress(w http.ResponseWriter) bool {
	switch {
	case m.receiving.Load():
		w.Header().Set(headerReceiving, "1")
	case m.reading.Load():
		w.Header().Set(headerReading, "1")
	default:
		return false
	}
	http.Error(w, "receiving the data", http.StatusServiceUnavailable)
	return true
}

// kind returns what a peer that gets the excerpt is answered.
func (e excerpt) kind() AnswerKind {
	switch {
	case !e.covered:
		return AnswerWhole
	case len(e.events) == 0:
		return AnswerNone
	}
	return AnswerChanges
}

// encodeAt returns the encoded answer to a peer, and when the store confirmed its data. e is what the
// peer needs, but for the items of the whole view.
func (m *Mirror) encodeAt(now time.Time, since platform.Revision, e excerpt, limit time.Duration) (answer, time.Time, error) {
	if !e.covered {
		if a, ok := m.answers.recentWhole(now, m.view.history, limit); ok && !e.storeBehind {
			return a, a.confirmedAt, nil
		}
		e = m.view.excerpt(now, since)
	}
	a, err := m.answers.encode(since, e)
	return a, e.confirmedAt, err
}

// ageMilliseconds returns an age in milliseconds, rounded up: data must not become younger with each relay
// that it passes.
func ageMilliseconds(age time.Duration) int64 {
	ms := age.Milliseconds()
	if age > time.Duration(ms)*time.Millisecond {
		ms++
	}
	return ms
}

// closedAt returns a channel that is closed at a time.
func closedAt(at time.Time) <-chan struct{} {
	c := make(chan struct{})
	time.AfterFunc(boottime.Until(at), func() { close(c) })
	return c
}

// awaitChanges waits for changes until relayWait has passed or the data becomes too old, so that
// the peer then polls elsewhere at once. A mirror that has no data yet waits for the full
// relayWait, because it will have some soon.
func (m *Mirror) awaitChanges(ctx context.Context, since platform.Revision, limit time.Duration) excerpt {
	wait := relayWait
	if now := boottime.Now(); !m.view.history.latest().IsZero() && !m.view.history.isCatchingUp(now) {
		wait = min(wait, limit-m.view.history.age(now))
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	m.releases.enter()
	defer m.releases.leave()
	for {
		now := boottime.Now()
		e := m.view.history.since(now, since)
		updated := e.updated
		if !e.revision.IsZero() && (len(e.events) > 0 || !e.covered || e.revision.Epoch() > since.Epoch()) {
			at := m.releases.release(now)
			if !at.After(now) {
				return e
			}
			updated = closedAt(at) // until then there may be more
		}
		select {
		case <-updated:
		case <-timer.C:
			return m.view.history.since(boottime.Now(), since)
		case <-ctx.Done():
			return e
		}
	}
}
