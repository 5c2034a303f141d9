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
	// relayAge is how old a relay's knowledge may be: it asks the store each second.
	relayAge = checkEvery + checkGrace + 100*time.Millisecond
	// relayPause is how long a relay is left alone that failed.
	relayPause = 5 * time.Second
	// maxRelayed bounds an answer of a relay, in bytes: the whole history of today's
	// sizes, and some configurations of 1 MB.
	maxRelayed = 16 << 20
)

// relayed is an answer of a relay.
type relayed struct {
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
// any, or with none after relayWait. 410 says that not all of them are kept, 503
// that this instance does not follow the store itself.
func (m *Mirror) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since is no revision", http.StatusBadRequest)
		return
	}
	e := m.await(r.Context(), platform.Revision(since))
	switch {
	case !e.direct || e.age > relayAge:
		http.Error(w, "the store is not followed", http.StatusServiceUnavailable)
		return
	case !e.known:
		http.Error(w, "the changes are not kept", http.StatusGone)
		return
	}
	answer := relayed{Revision: uint64(e.revision), Age: e.age.Milliseconds(), Events: []relayedEvent{}}
	for _, event := range e.events {
		answer.Events = append(answer.Events, relayedEvent{
			Key: event.Key, Value: event.Value, Changed: uint64(event.Changed), Created: uint64(event.Created), Removed: event.Removed,
		})
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer) // a peer that has left notices by itself
}

// await waits for changes, for the end of this instance's following, or for the
// end of the time.
func (m *Mirror) await(ctx context.Context, since platform.Revision) excerpt {
	over := time.NewTimer(relayWait)
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

// follow waits once for changes from a relay. It returns them with the revision
// that they lead up to and when the store confirmed that.
func (m *Mirror) follow(ctx context.Context, address string, since platform.Revision) ([]platform.Event, platform.Revision, time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTime)
	defer cancel()
	begin := time.Now()
	query := url.Values{"since": {strconv.FormatUint(uint64(since), 10)}}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+RelayPath+"?"+query.Encode(), nil)
	if err != nil {
		return nil, 0, time.Time{}, errors.Trace(&RelayError{Address: address, Err: err})
	}
	resp, err := m.peers.Do(r)
	if err != nil {
		return nil, 0, time.Time{}, errors.Trace(&RelayError{Address: address, Err: err})
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxRelayed))
	if err != nil || resp.StatusCode != http.StatusOK {
		return nil, 0, time.Time{}, errors.Trace(&RelayError{Address: address, Status: resp.StatusCode, Err: err})
	}
	var answer relayed
	if err := json.Unmarshal(b, &answer); err != nil {
		return nil, 0, time.Time{}, errors.Trace(&RelayError{Address: address, Status: resp.StatusCode, Err: err})
	}
	// The answer was made after begin at the earliest, so the age counts from there.
	return answer.changes(), platform.Revision(answer.Revision), begin.Add(-time.Duration(answer.Age) * time.Millisecond), nil
}

func (a relayed) changes() []platform.Event {
	events := make([]platform.Event, 0, len(a.Events))
	for _, e := range a.Events {
		item := platform.Item{Key: e.Key, Value: e.Value, Changed: platform.Revision(e.Changed), Created: platform.Revision(e.Created)}
		events = append(events, platform.Event{Item: item, Removed: e.Removed})
	}
	return events
}
