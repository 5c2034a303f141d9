package mirror

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/firlever/firlever/platform"
)

// RelayPath is where an instance passes on what it finds in the store. One
// instance of a region follows the store, and the others follow it: a call to the
// store costs as much as a request is worth, or more.
const RelayPath = "/changes"

const (
	// relayWait is how long a peer waits for changes. Its answer also says that
	// the relay lives and how old its knowledge is.
	relayWait = 700 * time.Millisecond
	// relayTime is how long an answer may take: relayWait and some round trips
	// between regions. A dead relay is given up by then, which leaves half a second
	// of a bound of 2 s to ask the store.
	relayTime = 1200 * time.Millisecond
	// relayAge is how old a relay's knowledge may be: it asks the store each second,
	// and lists it if its watch has missed something. Whoever gives up an older one
	// checks at once, so that changes are known within 1.7 s.
	relayAge = checkEvery + checkGrace + 200*time.Millisecond
	// relayPause is how long a relay is left alone that failed.
	relayPause = 5 * time.Second
	// maxRelayed bounds an answer of a relay, in bytes: the whole history of today's
	// sizes, and some configurations of 1 MB.
	maxRelayed = 16 << 20
)

// relayed is an answer of a relay.
type relayed struct {
	Whole    bool           `json:"whole"` // the events are all that is known, not what has changed
	Events   []relayedEvent `json:"events"`
	Revision uint64         `json:"revision"`
	Age      int64          `json:"age"` // of the knowledge, in milliseconds
}

type relayedEvent struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Changed uint64 `json:"changed"`
	Created uint64 `json:"created,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

// ServeHTTP answers a peer: with the changes since a revision as soon as there are
// any, or with none after relayWait. If not all of them are kept, the answer is all
// that is known. 503 says that this instance does not follow the store itself.
func (m *Mirror) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since is no revision", http.StatusBadRequest)
		return
	}
	e := m.await(r.Context(), platform.Revision(since))
	if !e.direct || e.age > relayAge {
		http.Error(w, "the store is not followed", http.StatusServiceUnavailable)
		return
	}
	answer := relayed{Revision: uint64(e.revision), Age: e.age.Milliseconds(), Whole: !e.known, Events: []relayedEvent{}}
	if !e.known {
		for _, item := range e.items {
			answer.add(platform.Event{Item: item})
		}
	}
	for _, event := range e.events {
		answer.add(event)
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer) // a peer that has left notices by itself
}

// await waits for changes, for the end of this instance's following, or for the
// end of the time, which is over when the knowledge gets too old: the peer then asks
// the store at once.
func (m *Mirror) await(ctx context.Context, since platform.Revision) excerpt {
	over := time.NewTimer(min(relayWait, relayAge-m.history.age(time.Now())))
	defer over.Stop()
	for {
		e := m.history.since(time.Now(), since)
		if len(e.events) > 0 || !e.known || !e.direct {
			return e
		}
		select {
		case <-e.grown:
		case <-over.C:
			return m.history.since(time.Now(), since)
		case <-ctx.Done():
			return e
		}
	}
}

func (a *relayed) add(e platform.Event) {
	a.Events = append(a.Events, relayedEvent{
		Key: e.Key, Value: e.Value, Changed: uint64(e.Changed), Created: uint64(e.Created), Removed: e.Removed,
	})
}
