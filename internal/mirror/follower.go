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

// followed waits once for changes from a peer, if one is to be followed. It says
// whether that knows the store.
func (m *Mirror) followed(ctx context.Context) bool {
	address := m.leader()
	if address == "" {
		m.setFollowing(false)
		return false
	}
	n, err := m.follow(ctx, address, m.history.at())
	if err != nil {
		m.setFollowing(false)
		m.via = ""
		if ctx.Err() == nil && !m.isLost() {
			m.alone = time.Now().Add(relayPause)
			m.checkSoon()
			m.sink.Alone(err)
		}
		return false
	}
	if m.isLost() && m.via != address {
		m.sink.Through(address)
	}
	m.via = address
	m.setFollowing(true)
	if n.whole {
		n.events = m.copy.Difference(n.items(), n.revision)
	}
	m.take(n.events, n.revision)
	m.history.confirm(n.confirmed, false)
	m.begun()
	return true
}

// checkSoon asks for a check of the store at once.
func (m *Mirror) checkSoon() {
	select {
	case m.soon <- struct{}{}:
	default:
	}
}

// leader is the peer to follow now; "" if there is none. While the store is out of
// reach, one peer after the other is tried.
func (m *Mirror) leader() string {
	if m.isReached() {
		return ""
	}
	if !m.isLost() {
		if !m.listed || time.Now().Before(m.alone) {
			return ""
		}
		return m.peers.Relay()
	}
	if m.via != "" {
		return m.via
	}
	others := m.peers.Others()
	if len(others) == 0 {
		return ""
	}
	m.asked++
	return others[m.asked%len(others)]
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
