package mirror

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/platform"
)

const (
	// firstStartTimeout is how long an instance polls the seeds when the whole system starts for
	// the first time: all instances start within 0.3 s, seconds before callers come.
	firstStartTimeout = 800 * time.Millisecond
	// restartTimeout is the same at any later start, when callers are waiting: some round trips
	// between regions. With firstStartTimeout, 1,300 more of 4,600 requests were refused in the 2 s
	// after a power loss of 195 instances, because the seeds came back last.
	restartTimeout = 150 * time.Millisecond
	seedRetryDelay = 50 * time.Millisecond // between two polls of instances without data
	// progressTimeout is how long an instance goes on polling after one told that it reads the
	// store, or named others that have the data.
	progressTimeout = 500 * time.Millisecond
	// bootstrapTimeout bounds the time in which the data is taken from other instances.
	bootstrapTimeout = 4 * time.Second
	// maxCandidates bounds the instances that are polled at the start.
	maxCandidates = 64
)

// Headers of an answer with status 503 to an instance that starts.
const (
	headerReading = "Firlever-Reading" // the instance reads the store and will have the data soon
	headerHolders = "Firlever-Holders" // instances that have the data, separated by commas
)

// paramFrom is the query parameter with the address of the peer that polls.
const paramFrom = "from"

// notYetError reports that an instance could not give its data, but told where it is to be had.
type notYetError struct {
	reading bool
	holders []string
	err     error
}

func (e *notYetError) Error() string {
	return fmt.Sprintf("mirror: no data yet, reading: %t, %d holders: %v", e.reading, len(e.holders), e.err)
}

// Unwrap returns the cause.
func (e *notYetError) Unwrap() error { return e.err }

// withProgress adds what an answer tells about the data to the error of a failed poll.
func withProgress(err error, h http.Header) error {
	e := &notYetError{reading: h.Get(headerReading) != "", err: err}
	if list := h.Get(headerHolders); list != "" {
		e.holders = strings.Split(list, ",")
	}
	if !e.reading && e.holders == nil {
		return err
	}
	return e
}

// candidates are the instances that are polled at a start, in turn.
type candidates struct {
	list []string // maxCandidates at most
	next int
}

// take returns the next candidate; "" if there is none.
func (c *candidates) take() string {
	if len(c.list) == 0 {
		return ""
	}
	address := c.list[c.next%len(c.list)]
	c.next++
	return address
}

// add adds instances, which are polled next.
func (c *candidates) add(self string, addresses []string) {
	for _, a := range addresses {
		if a != self && !slices.Contains(c.list, a) && len(c.list) < maxCandidates {
			at := c.next % max(1, len(c.list))
			c.list = slices.Insert(c.list, at, a)
		}
	}
}

// bootstrap reads everything from a seed that has it, if there is one: a list of a large store takes
// hundreds of calls. When all instances start at once, the seeds list the store, and the others wait
// as long as they do. An instance that finds no seed with data lists the store.
func (m *Mirror) bootstrap(ctx context.Context) {
	wait := restartTimeout
	if m.peers.FirstStart {
		wait = firstStartTimeout
	}
	c := &candidates{list: slices.Clone(m.peers.Seeds), next: rand.IntN(max(1, len(m.peers.Seeds)))} // spreads the starts over the seeds
	m.takeFrom(ctx, c, wait)
}

// firstList lists the store, unless that is large and another instance gives the data meanwhile: in
// a large fleet the first pages hold the records of instances to ask. Whoever has the data gives it
// to some others and names these to further ones.
func (m *Mirror) firstList(ctx context.Context) ([]platform.Item, platform.Revision, error) {
	m.reading.Store(len(m.peers.Seeds) == 0)
	defer m.reading.Store(false)
	return m.store.ListUnless(ctx, "", false, func(items []platform.Item) bool {
		if m.peers.Registered == nil || len(m.peers.Seeds) == 0 {
			return false
		}
		registered := m.peers.Registered(items)
		if len(registered) < minLargeFleet {
			return false
		}
		rand.Shuffle(len(registered), func(i, j int) { registered[i], registered[j] = registered[j], registered[i] })
		c := &candidates{list: slices.Clone(m.peers.Seeds)}
		c.add(m.peers.Self, registered)
		taken := m.takeFrom(ctx, c, progressTimeout)
		m.reading.Store(!taken)
		return taken
	})
}

// takeFrom polls candidates in turn until one gives its data, and reports whether one did. It gives
// up after a time without news of where the data is.
func (m *Mirror) takeFrom(ctx context.Context, c *candidates, wait time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	until := boottime.Now().Add(wait)
	for ctx.Err() == nil && len(c.list) > 0 && boottime.Now().Before(until) {
		err := m.pollPeer(ctx, c.take(), url.Values{paramAnyAge: {"1"}, paramFrom: {m.peers.Self}}, boottime.Until(until))
		if err == nil {
			return true
		}
		if !m.view.history.latest().IsZero() {
			m.sink.RelayFailed(err) // its data was old: a relay or the store provides the rest
			return true
		}
		var notYet *notYetError
		if errors.As(err, &notYet) {
			c.add(m.peers.Self, notYet.holders)
			until = boottime.Now().Add(progressTimeout)
		}
		sleep(ctx, seedRetryDelay)
	}
	return false
}

// minLargeFleet is how many instances the first pages of a store have to name for one that starts to
// look for the data among them.
const minLargeFleet = 200

// holders are the instances that have taken the whole view from this one, and the time for which
// its link is taken up by that. It is safe for concurrent use.
type holders struct {
	linkMbps float64 // 0: not known

	mu        sync.Mutex
	addresses []string  // the latest last; maxHolders at most; guarded by mu
	busyUntil time.Time // guarded by mu
}

const (
	maxHolders = 8
	// maxBacklog is how much sending may wait on the link before peers are sent to others.
	maxBacklog = 150 * time.Millisecond
	// defaultLinkMbps is assumed for a link of unknown bandwidth.
	defaultLinkMbps = 100
)

// admit reports whether to send a number of bytes to a peer now. Otherwise it returns other
// instances that have the data; if there are none, the bytes are sent all the same.
func (h *holders) admit(now time.Time, peer string, size int) (others []string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	link := h.linkMbps
	if link <= 0 {
		link = defaultLinkMbps
	}
	if h.busyUntil.Sub(now) > maxBacklog && len(h.addresses) > 0 {
		return slices.Clone(h.addresses), false
	}
	took := time.Duration(float64(size) * 8 / (link * 1e6) * float64(time.Second))
	if h.busyUntil.Before(now) {
		h.busyUntil = now
	}
	h.busyUntil = h.busyUntil.Add(took)
	if peer != "" && !slices.Contains(h.addresses, peer) {
		h.addresses = append(h.addresses, peer)
		h.addresses = h.addresses[max(0, len(h.addresses)-maxHolders):]
	}
	return nil, true
}
