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

// news is what a relay said.
type news struct {
	events    []platform.Event
	beliefs   Beliefs // of whole news
	whole     bool    // the events are all that there is
	gaps      bool    // they are not all changes since the revision that was asked for
	revision  platform.Revision
	confirmed time.Time // when the store said so
	settled   time.Time // removals are delayed until then
	ahead     bool      // some of what the relay knows the store has lost
}

// call waits once for changes from a relay, whose answer may take so long.
func (m *Mirror) call(ctx context.Context, address string, query url.Values, within time.Duration) (news, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	begin := boottime.Now()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+RelayPath+"?"+query.Encode(), nil)
	if err != nil {
		return news{}, errors.Trace(&peerhttp.Error{Address: address, Err: err})
	}
	resp, err := m.client.Do(r)
	if err != nil {
		return news{}, errors.Trace(&peerhttp.Error{Address: address, Err: err})
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxRelayed))
	if err != nil || resp.StatusCode != http.StatusOK {
		return news{}, errors.Trace(&peerhttp.Error{Address: address, Status: resp.StatusCode, Err: err})
	}
	var answer relayed
	if err := json.Unmarshal(b, &answer); err != nil {
		return news{}, errors.Trace(&peerhttp.Error{Address: address, Status: resp.StatusCode, Err: err})
	}
	age, err := milliseconds(resp.Header, headerAge)
	if err != nil {
		return news{}, errors.Trace(&peerhttp.Error{Address: address, Status: resp.StatusCode, Err: err})
	}
	settling, err := milliseconds(resp.Header, headerSettling)
	if err != nil {
		return news{}, errors.Trace(&peerhttp.Error{Address: address, Status: resp.StatusCode, Err: err})
	}
	n := answer.news()
	n.confirmed = begin.Add(-age) // the answer was made later
	n.settled = boottime.Now().Add(settling)
	n.ahead = resp.Header.Get(headerAhead) != ""
	return n, nil
}

// milliseconds reads a header that holds a length of time.
func milliseconds(h http.Header, name string) (time.Duration, error) {
	ms, err := strconv.ParseInt(h.Get(name), 10, 64)
	return time.Duration(ms) * time.Millisecond, errors.Trace(err)
}

// value is the entry's value.
func (e relayedEvent) value() []byte {
	if e.Text != "" {
		return []byte(e.Text)
	}
	return e.Value
}

// news decodes an answer.
func (a relayed) news() news {
	n := news{whole: a.Whole, gaps: a.Gaps, revision: a.Revision}
	for _, e := range a.Events {
		n.events = append(n.events, e.event())
	}
	n.beliefs = Beliefs{Kept: items(a.Kept), Hidden: items(a.Hidden)}
	return n
}

func items(events []relayedEvent) []platform.Item {
	var list []platform.Item
	for _, e := range events {
		list = append(list, e.event().Item)
	}
	return list
}

func (e relayedEvent) event() platform.Event {
	item := platform.Item{Key: e.Key, Value: e.value(), Changed: e.Changed, Created: e.Created}
	return platform.Event{Item: item, Removed: e.Removed}
}
