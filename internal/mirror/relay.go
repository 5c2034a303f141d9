package mirror

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/platform"
)

// RelayPath is where an instance passes on what it finds in the store. One
// instance of a region follows the store, and the others follow it: a call to the
// store costs as much as a request is worth, or more. The number is that of the form of
// its answers.
const RelayPath = "/changes/3"

const (
	// relayWait is how long a peer waits for changes. Its answer also says that
	// the relay lives and how old its knowledge is.
	relayWait = 700 * time.Millisecond
	// relayTimeout is how long an answer may take: relayWait and some round trips
	// between regions. A dead relay is given up by then, which leaves half a second
	// of a bound of 2 s to ask the store.
	relayTimeout = 1200 * time.Millisecond
	// relayMaxAge is how old a relay's knowledge may be for those that come after all
	// relays: it asks the store each second, and lists it if its watch has missed
	// something. Whoever gives up an older one checks at once, so that changes are known
	// within 1.7 s.
	relayMaxAge = checkInterval + checkGrace + 200*time.Millisecond
	// relayStagger is by how much sooner each relay gives up those before it than the next one
	// does: it has asked the store by the time at which it is asked itself.
	relayStagger = 100 * time.Millisecond
	// relayBackoff is how long a relay is left alone that gave no answer, and staleSoon
	// one whose knowledge was too old: it mostly finds a peer within a second. An
	// instance by itself calls the store up to 7 times a second; with 5 s for both, 91
	// instances made 4,476 calls on a day with outages instead of 3,001.
	relayBackoff = 5 * time.Second
	staleBackoff = time.Second
	// paramAnyAge is the parameter by which a peer takes knowledge of any age.
	paramAnyAge = "any"
	// paramMaxAge is the parameter that bounds the age of what a peer takes, in milliseconds.
	paramMaxAge = "age"
	// headerAge says how old the knowledge of an answer is, and headerSettling for how
	// long removals in it are still delayed, in milliseconds.
	headerAge         = "Firlever-Age"
	headerRemoveDelay = "Firlever-Settling"
	// headerStoreBehind is set if the relay knows something that the store has lost: who has read
	// the store by itself since needs all that is known.
	headerStoreBehind = "Firlever-Ahead"
	// maxAnswerBytes bounds an answer of a relay, in bytes: the whole history of today's
	// sizes, and some configurations of 1 MB.
	maxAnswerBytes = 16 << 20
)

// relayAnswer is an answer of a relay.
type relayAnswer struct {
	Whole    bool              `json:"whole"`          // the events are all that is known, not what has changed
	Gaps     bool              `json:"gaps,omitempty"` // they are not all changes since
	Events   []relayEvent      `json:"events"`
	Kept     []relayEvent      `json:"kept,omitempty"`   // of a whole answer: what is believed in spite of what the store holds
	Hidden   []relayEvent      `json:"hidden,omitempty"` // of a whole answer: what it holds that is not believed
	Revision platform.Revision `json:"revision"`
}

type relayEvent struct {
	Key     string            `json:"key"`
	Text    string            `json:"text,omitempty"`  // the value, if it is UTF-8
	Value   []byte            `json:"value,omitempty"` // the value otherwise
	Changed platform.Revision `json:"changed"`
	Created platform.Revision `json:"created,omitzero"`
	Removed bool              `json:"removed,omitempty"`
}

// ServeHTTP answers a peer: with the changes since a revision as soon as there are
// any, or with none after relayWait. If not all of them are kept, the answer is all
// that is known. 503 says that its knowledge is too old: neither the store nor a peer
// that knows it is in reach, or instances follow each other in a circle. A peer that
// knows nothing yet asks for it at any age.
func (m *Mirror) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var since platform.Revision
	if err := since.UnmarshalText([]byte(r.URL.Query().Get("since"))); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	limit := relayMaxAge
	if ms, err := strconv.ParseUint(r.URL.Query().Get(paramMaxAge), 10, 16); err == nil {
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	e := m.view.history.since(boottime.Now(), since)
	atAnyAge := r.URL.Query().Get(paramAnyAge) != "" && !e.revision.IsZero()
	if !atAnyAge {
		e = m.awaitChanges(r.Context(), since, limit)
	}
	if e.age > limit && !atAnyAge {
		http.Error(w, "what is known is too old", http.StatusServiceUnavailable)
		return
	}
	a, err := m.answers.encode(since, e)
	if err != nil {
		m.sink.AnswerFailed(err)
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set(headerAge, strconv.FormatInt(e.age.Milliseconds(), 10))
	if e.storeBehind {
		w.Header().Set(headerStoreBehind, "1")
	}
	w.Header().Set(headerRemoveDelay, strconv.FormatInt(e.removeDelay.Milliseconds(), 10))
	a.write(w, r)
}

// awaitChanges waits for changes, or for the end of the time, which is over when the
// knowledge gets too old: the peer then asks elsewhere at once. Who knows nothing yet
// will soon.
func (m *Mirror) awaitChanges(ctx context.Context, since platform.Revision, limit time.Duration) excerpt {
	wait := relayWait
	if !m.view.history.latest().IsZero() {
		wait = min(wait, limit-m.view.history.age(boottime.Now()))
	}
	over := time.NewTimer(wait)
	defer over.Stop()
	for {
		e := m.view.history.since(boottime.Now(), since)
		if !e.revision.IsZero() && (len(e.events) > 0 || !e.covered || e.revision.Epoch() > since.Epoch()) {
			return e
		}
		select {
		case <-e.updated:
		case <-over.C:
			return m.view.history.since(boottime.Now(), since)
		case <-ctx.Done():
			return e
		}
	}
}
