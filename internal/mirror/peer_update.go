package mirror

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/peerhttp"
	"github.com/firlever/firlever/platform"
)

// peerUpdate is the decoded answer of a relay.
type peerUpdate struct {
	events      []platform.Event
	overrides   Overrides // set if whole
	whole       bool      // the events are all items of the store
	gaps        bool      // the events aren't all changes since the requested revision
	revision    platform.Revision
	confirmedAt time.Time // when the store confirmed it
	removeAfter time.Time // removals are delayed until then
	storeBehind bool      // the store has lost a part of the relay's view
}

// wholeTimeout is how long the answer to an instance that starts may take once it has begun: many
// take the whole view over the same links.
const wholeTimeout = 2 * time.Second

// fetch waits once for changes from a relay. within bounds the time until its answer begins, and
// until it has ended unless this instance starts.
func (m *Mirror) fetch(ctx context.Context, address string, query url.Values, within time.Duration) (peerUpdate, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(within, cancel)
	defer timer.Stop()
	begin := boottime.Now()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+RelayPath+"?"+query.Encode(), nil)
	if err != nil {
		return peerUpdate{}, errors.Trace(&peerhttp.Error{Address: address, Err: err})
	}
	resp, err := m.client.Do(r)
	if err != nil {
		return peerUpdate{}, errors.Trace(&peerhttp.Error{Address: address, Err: err})
	}
	defer resp.Body.Close()
	if query.Has(paramAnyAge) {
		timer.Reset(wholeTimeout)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil || resp.StatusCode != http.StatusOK {
		return peerUpdate{}, errors.Trace(withProgress(&peerhttp.Error{Address: address, Status: resp.StatusCode, Err: err}, resp.Header))
	}
	var answer relayAnswer
	if err := json.Unmarshal(b, &answer); err != nil {
		return peerUpdate{}, errors.Trace(&peerhttp.Error{Address: address, Status: resp.StatusCode, Err: err})
	}
	age, err := milliseconds(resp.Header, headerAge)
	if err != nil {
		return peerUpdate{}, errors.Trace(&peerhttp.Error{Address: address, Status: resp.StatusCode, Err: err})
	}
	removeDelay, err := milliseconds(resp.Header, headerRemoveDelay)
	if err != nil {
		return peerUpdate{}, errors.Trace(&peerhttp.Error{Address: address, Status: resp.StatusCode, Err: err})
	}
	n := answer.update()
	n.confirmedAt = begin.Add(-age) // a lower bound: the answer was made after the request was sent
	n.removeAfter = boottime.Now().Add(removeDelay)
	n.storeBehind = resp.Header.Get(headerStoreBehind) != ""
	return n, nil
}

// milliseconds parses a header that holds a duration.
func milliseconds(h http.Header, name string) (time.Duration, error) {
	ms, err := strconv.ParseInt(h.Get(name), 10, 64)
	return time.Duration(ms) * time.Millisecond, errors.Trace(err)
}

// value returns the entry's value.
func (e relayEvent) value() []byte {
	if e.Text != "" {
		return []byte(e.Text)
	}
	return e.Value
}

// update converts an answer.
func (a relayAnswer) update() peerUpdate {
	n := peerUpdate{whole: a.Whole, gaps: a.Gaps, revision: a.Revision}
	for _, e := range a.Events {
		n.events = append(n.events, e.event())
	}
	n.overrides = Overrides{Kept: decodeItems(a.Kept), Hidden: decodeItems(a.Hidden)}
	return n
}

func decodeItems(events []relayEvent) []platform.Item {
	var list []platform.Item
	for _, e := range events {
		list = append(list, e.event().Item)
	}
	return list
}

func (e relayEvent) event() platform.Event {
	item := platform.Item{Key: e.Key, Value: e.value(), Changed: e.Changed, Created: e.Created}
	return platform.Event{Item: item, Removed: e.Removed}
}
