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
	if err := m.learn(ctx, address); err != nil {
		m.setFollowing(false)
		m.via = ""
		if ctx.Err() == nil && !m.isLost() {
			m.alone = time.Now().Add(pauseAfter(err))
			m.checkSoon()
			m.sink.Alone(err)
		}
		return false
	}
	return true
}

// pauseAfter is how long a relay is left alone after a failure.
func pauseAfter(err error) time.Duration {
	var failed *RelayError
	if errors.As(err, &failed) && failed.Status == http.StatusServiceUnavailable {
		return staleSoon
	}
	return relayPause
}

// learn waits once for changes from a peer.
func (m *Mirror) learn(ctx context.Context, address string) error {
	query := url.Values{"since": {strconv.FormatUint(uint64(m.history.at()), 10)}}
	takesOld := m.isLost() && !m.listed // an old configuration serves callers, none doesn't
	if takesOld {
		query.Set(anyAge, "1")
	}
	n, err := m.follow(ctx, address, query)
	if err != nil {
		return err
	}
	if takesOld && time.Since(n.confirmed) > relayAge {
		m.adopt(n)
		return errors.Trace(&RelayError{Address: address, Status: http.StatusServiceUnavailable})
	}
	if m.isLost() && m.via != address {
		m.sink.Through(address)
	}
	m.via = address
	m.setFollowing(true)
	m.adopt(n)
	return nil
}

// adopt takes in what a peer said.
func (m *Mirror) adopt(n news) {
	if n.whole {
		n.events = m.copy.Difference(n.items(), n.revision)
	}
	m.take(n.events, n.revision)
	m.history.confirm(n.confirmed)
	m.begun()
}

// begin learns all from the relay of the region, if there is one that knows it: a
// list of 500 targets takes 11 calls to the store, the names of 91 instances 2. Who
// is the relay, or finds none ready, lists the store at once.
func (m *Mirror) begin(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, beginTime)
	defer cancel()
	items, _, err := m.store.List(ctx, m.peers.Prefix, false)
	if err != nil {
		return // the store is not in reach; that is noticed by the list
	}
	events := make([]platform.Event, 0, len(items))
	for _, item := range items {
		events = append(events, platform.Event{Item: item})
	}
	if changes := m.copy.Apply(time.Now(), events); len(changes) > 0 {
		m.sink.Changed(changes)
	}
	if address := m.peers.Relay(); address != "" {
		if err := m.learn(ctx, address); err != nil {
			m.sink.Alone(err) // the store is listed
		}
	}
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
func (m *Mirror) follow(ctx context.Context, address string, query url.Values) (news, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTime)
	defer cancel()
	begin := time.Now()
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
	age, err := strconv.ParseInt(resp.Header.Get(headerAge), 10, 64)
	if err != nil {
		return news{}, errors.Trace(&RelayError{Address: address, Status: resp.StatusCode, Err: err})
	}
	return answer.news(begin.Add(-time.Duration(age) * time.Millisecond)), nil
}

// news decodes an answer whose knowledge was confirmed at a time: its age counts
// from when the call began, as the answer was made later.
func (a relayed) news(confirmed time.Time) news {
	n := news{whole: a.Whole, revision: platform.Revision(a.Revision), confirmed: confirmed}
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
