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
	partial     bool      // more changes follow the events
	revision    platform.Revision
	confirmedAt time.Time // when the store confirmed it
	removeAfter time.Time // removals are delayed until then
	storeBehind bool      // the store has lost a part of the relay's view
}

const (
	// idleTimeout is how long an answer that has begun may pause, bodyTimeout how long it may take,
	// and minAnswerRate how many bytes a second must come without compression. Several answers
	// share a link when many instances start or many targets register; to cut one off that is on
	// its way and request it again would only take more of the link.
	idleTimeout   = relayTimeout
	bodyTimeout   = 10 * time.Second
	minAnswerRate = 64 << 10
)

// fetch waits once for changes from a relay. within bounds the time until its answer begins; it then
// ends after bodyTimeout, or when too little comes.
func (m *Mirror) fetch(ctx context.Context, address string, query url.Values, within time.Duration) (peerUpdate, error) {
	ctx, cancel := context.WithTimeout(ctx, within+bodyTimeout)
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
	if resp.StatusCode != http.StatusOK {
		return peerUpdate{}, errors.Trace(withProgress(&peerhttp.Error{Address: address, Status: resp.StatusCode}, resp.Header))
	}
	m.receiving.Store(true)
	defer m.receiving.Store(false)
	begun := boottime.Now()
	timer.Reset(idleTimeout)
	body := &countingReader{r: io.LimitReader(resp.Body, maxAnswerBytes), received: func(n int64) { timer.Reset(answerTimeLeft(n, boottime.Since(begun))) }}
	n, err := decodeUpdate(body)
	if err != nil {
		err = &BrokenAnswerError{Received: body.n, Err: err}
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
	n.confirmedAt = begin.Add(-age) // a lower bound: the poll arrived after it was sent
	n.removeAfter = boottime.Now().Add(removeDelay)
	n.storeBehind = resp.Header.Get(headerStoreBehind) != ""
	return n, nil
}

// answerTimeLeft returns how long the next bytes may take of an answer of which n have come since it
// began.
func answerTimeLeft(n int64, since time.Duration) time.Duration {
	allowed := idleTimeout + time.Duration(n)*time.Second/minAnswerRate
	return min(idleTimeout, max(0, allowed-since))
}

// countingReader counts the bytes that are read.
type countingReader struct {
	r        io.Reader
	n        int64
	received func(n int64) // called with n when bytes are read
}

func (c *countingReader) Read(b []byte) (int, error) {
	n, err := c.r.Read(b)
	if n > 0 {
		c.n += int64(n)
		c.received(c.n)
	}
	return n, err
}

// BrokenAnswerError reports an answer of a relay that ended early or could not be decoded.
type BrokenAnswerError struct {
	Received int64 // bytes, without compression
	Err      error
}

func (e *BrokenAnswerError) Error() string {
	return fmt.Sprintf("mirror: answer broken after %d bytes: %v", e.Received, e.Err)
}

// Unwrap returns the cause.
func (e *BrokenAnswerError) Unwrap() error { return e.Err }

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

// decodeUpdate decodes the answer of a relay. It converts one event after the other, as a whole view
// of a large store takes several times its size otherwise.
func decodeUpdate(r io.Reader) (peerUpdate, error) {
	d := json.NewDecoder(r)
	var n peerUpdate
	if err := expectDelim(d, '{'); err != nil {
		return peerUpdate{}, err
	}
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return peerUpdate{}, errors.Trace(err)
		}
		switch name {
		case "whole":
			err = d.Decode(&n.whole)
		case "gaps":
			err = d.Decode(&n.gaps)
		case "partial":
			err = d.Decode(&n.partial)
		case "revision":
			err = d.Decode(&n.revision)
		case "events":
			err = decodeEvents(d, func(e relayEvent) { n.events = append(n.events, e.event()) })
		case "kept":
			err = decodeEvents(d, func(e relayEvent) { n.overrides.Kept = append(n.overrides.Kept, e.event().Item) })
		case "hidden":
			err = decodeEvents(d, func(e relayEvent) { n.overrides.Hidden = append(n.overrides.Hidden, e.event().Item) })
		default:
			var ignored json.RawMessage
			err = d.Decode(&ignored)
		}
		if err != nil {
			return peerUpdate{}, errors.Trace(err)
		}
	}
	return n, expectDelim(d, '}')
}

// decodeEvents decodes a list of events and passes each to add.
func decodeEvents(d *json.Decoder, add func(relayEvent)) error {
	if err := expectDelim(d, '['); err != nil {
		return err
	}
	for d.More() {
		var e relayEvent
		if err := d.Decode(&e); err != nil {
			return errors.Trace(err)
		}
		add(e)
	}
	return expectDelim(d, ']')
}

// expectDelim reads a delimiter.
func expectDelim(d *json.Decoder, want json.Delim) error {
	token, err := d.Token()
	if err != nil {
		return errors.Trace(err)
	}
	if token != want {
		return errors.Trace(&AnswerError{Want: want, Got: token})
	}
	return nil
}

// AnswerError reports an answer of a relay that has another structure than expected.
type AnswerError struct {
	Want json.Delim
	Got  json.Token
}

func (e *AnswerError) Error() string {
	return fmt.Sprintf("mirror: answer has %v in place of %s", e.Got, e.Want)
}

func (e relayEvent) event() platform.Event {
	item := platform.Item{Key: e.Key, Value: e.value(), Changed: e.Changed, Created: e.Created}
	return platform.Event{Item: item, Removed: e.Removed}
}
