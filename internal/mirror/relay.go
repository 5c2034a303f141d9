package mirror

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

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

// RelayError says that a relay can't be followed.
type RelayError struct {
	Address string
	Status  int // of its answer; 0 if there was none
	Err     error
}

func (e *RelayError) Error() string {
	return fmt.Sprintf("mirror: relay %s: status %d: %v", e.Address, e.Status, e.Err)
}

// Unwrap returns the cause.
func (e *RelayError) Unwrap() error { return e.Err }

// news is what a relay said.
type news struct {
	events    []platform.Event
	whole     bool // the events are all that there is
	revision  platform.Revision
	confirmed time.Time // when the store said so
}

// follow waits once for changes from a relay.
func (m *Mirror) follow(ctx context.Context, address string, since platform.Revision) (news, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTime)
	defer cancel()
	begin := time.Now()
	query := url.Values{"since": {strconv.FormatUint(uint64(since), 10)}}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+RelayPath+"?"+query.Encode(), nil)
	if err != nil {
		return news{}, errors.Trace(&RelayError{Address: address, Err: err})
	}
	resp, err := m.client.Do(r)
	if err != nil {
		return news{}, errors.Trace(&RelayError{Address: address, Err: err})
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxRelayed))
	if err != nil || resp.StatusCode != http.StatusOK {
		return news{}, errors.Trace(&RelayError{Address: address, Status: resp.StatusCode, Err: err})
	}
	var answer relayed
	if err := json.Unmarshal(b, &answer); err != nil {
		return news{}, errors.Trace(&RelayError{Address: address, Status: resp.StatusCode, Err: err})
	}
	return answer.news(begin), nil
}

// news decodes an answer to a call that began at a time. It was made later, so
// that the age counts from there.
func (a relayed) news(begin time.Time) news {
	n := news{
		whole: a.Whole, revision: platform.Revision(a.Revision),
		confirmed: begin.Add(-time.Duration(a.Age) * time.Millisecond),
	}
	for _, e := range a.Events {
		item := platform.Item{Key: e.Key, Value: e.Value, Changed: platform.Revision(e.Changed), Created: platform.Revision(e.Created)}
		n.events = append(n.events, platform.Event{Item: item, Removed: e.Removed})
	}
	return n
}

// items are the items of whole news.
func (n news) items() []platform.Item {
	items := make([]platform.Item, 0, len(n.events))
	for _, e := range n.events {
		items = append(items, e.Item)
	}
	return items
}
