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
	"github.com/firlever/firlever/internal/peerhttp"
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
	// seedRetryDelay is the first pause between two polls of instances without data. It grows up to
	// maxSeedRetryDelay, as a whole fleet may poll the seeds.
	seedRetryDelay    = 50 * time.Millisecond
	maxSeedRetryDelay = 200 * time.Millisecond
	// progressTimeout is how long an instance goes on polling after news of where the data is.
	progressTimeout = 500 * time.Millisecond
	// readingTimeout bounds the time in which it counts as news that another instance reads the store,
	// which may be out of reach for that one alone.
	readingTimeout = 4 * time.Second
	// spreadTimeout bounds the time in which it counts as news that others have the data, or receive it.
	spreadTimeout = 20 * time.Second
	// listSpread is the time over which the instances of a large fleet begin to list the store if none
	// has the data: lists by all at once fill the store's link. The first one gives it to the others.
	listSpread = 30 * time.Second
	// maxCandidates bounds the instances that are polled at the start.
	maxCandidates = 64
)

// Headers of an answer with status 503 to an instance that starts.
const (
	headerReading   = "Firlever-Reading"   // the instance reads the store and will have the data soon
	headerReceiving = "Firlever-Receiving" // the instance receives the data from another one
	headerHolders   = "Firlever-Holders"   // instances that have the data or receive it, separated by commas
)

// paramFrom is the query parameter with the address of the peer that polls.
const paramFrom = "from"

// notYetError reports that an instance could not give its data, but told where it is to be had.
type notYetError struct {
	reading   bool
	receiving bool
	holders   []string
	err       error
}

func (e *notYetError) Error() string {
	return fmt.Sprintf("mirror: no data yet, reading: %t, receiving: %t, %d holders: %v", e.reading, e.receiving, len(e.holders), e.err)
}

// Unwrap returns the cause.
func (e *notYetError) Unwrap() error { return e.err }

// withProgress adds what an answer tells about the data to the error of a failed poll.
func withProgress(err error, h http.Header) error {
	e := &notYetError{reading: h.Get(headerReading) != "", receiving: h.Get(headerReceiving) != "", err: err}
	if list := h.Get(headerHolders); list != "" {
		e.holders = strings.Split(list, ",")
	}
	if !e.reading && !e.receiving && e.holders == nil {
		return err
	}
	return e
}

// candidates are the instances that are polled at a start: those that were named as holders of the data,
// each once, in turn with the sources, which are polled again and again.
type candidates struct {
	sources    []string // maxCandidates at most
	nextSource int
	holders    []string // maxCandidates at most
	asked      string   // the holder that was taken last
	holderTurn bool     // the last one taken was a holder, if there was one
}

// take returns the next candidate; "" if there is none.
func (c *candidates) take() string {
	c.holderTurn = !c.holderTurn
	if len(c.holders) > 0 && (c.holderTurn || len(c.sources) == 0) {
		c.asked = c.holders[0]
		c.holders = c.holders[1:]
		return c.asked
	}
	if len(c.sources) == 0 {
		return ""
	}
	address := c.sources[c.nextSource%len(c.sources)]
	c.nextSource++
	return address
}

// add adds holders, in random order: all that start at once are told the same ones.
func (c *candidates) add(self string, addresses []string) {
	for _, k := range rand.Perm(len(addresses)) {
		a := addresses[k]
		if a != self && a != c.asked && !slices.Contains(c.holders, a) && len(c.holders) < maxCandidates {
			c.holders = append(c.holders, a)
		}
	}
}

// retry has a candidate that will have the data soon polled again after the other holders.
func (c *candidates) retry(address string) {
	if !slices.Contains(c.sources, address) && len(c.holders) < maxCandidates {
		c.holders = append(c.holders, address)
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
	seeds := m.peers.Seeds
	c := &candidates{sources: seeds, nextSource: rand.IntN(max(1, len(seeds)))} // spreads the starts over the seeds
	m.takeFrom(ctx, c, boottime.Now().Add(wait))
}

// firstList lists the store, unless that is large and another instance gives the data meanwhile: in
// a large fleet the first pages hold the records of instances to ask. Whoever has the data gives it
// to some others and names these to further ones. As long as some of them answer, an instance waits
// for a random part of listSpread.
func (m *Mirror) firstList(ctx context.Context) ([]platform.Item, platform.Revision, error) {
	m.reading.Store(len(m.peers.Seeds) == 0)
	defer m.reading.Store(false)
	asked := false
	return m.store.ListUnless(ctx, "", false, func(items []platform.Item) bool {
		if asked || m.peers.Registered == nil || len(m.peers.Seeds) == 0 {
			return false
		}
		registered := m.peers.Registered(items)
		if len(registered) < minLargeFleet {
			return false
		}
		asked = true
		rand.Shuffle(len(registered), func(i, j int) { registered[i], registered[j] = registered[j], registered[i] })
		sources := slices.Concat(m.peers.Seeds, registered)
		c := &candidates{sources: sources[:min(len(sources), maxCandidates)]}
		taken := m.takeFrom(ctx, c, boottime.Now().Add(rand.N(listSpread)))
		m.reading.Store(!taken)
		return taken
	})
}

// GivenUp describes why the data is no longer asked for at other instances.
type GivenUp struct {
	Polls    int
	Answered int           // of the polls
	Waited   time.Duration // since the first poll
}

// takeFrom polls candidates in turn until one gives its data, and reports whether one did. It gives up
// at a time, later while there is news of where the data is, and sooner if no candidate answers.
func (m *Mirror) takeFrom(ctx context.Context, c *candidates, until time.Time) bool {
	begin := boottime.Now()
	ctx, cancel := context.WithDeadline(ctx, boottime.ToRuntime(begin.Add(listSpread+spreadTimeout)))
	defer cancel()
	var g GivenUp
	silent, pause := 0, seedRetryDelay
	for ctx.Err() == nil && boottime.Now().Before(until) && silent < maxSilent {
		address := c.take()
		if address == "" {
			return false
		}
		err := m.pollPeer(ctx, address, url.Values{paramAnyAge: {"1"}, paramFrom: {m.peers.Self}}, min(progressTimeout, boottime.Until(until)))
		if err == nil {
			return true
		}
		if !m.view.history.latest().IsZero() {
			m.sink.RelayFailed(err) // its data was old: a relay or the store provides the rest
			return true
		}
		g.Polls++
		silent++
		if answered(err) {
			g.Answered++
			silent = 0
		}
		until = c.learn(m.peers.Self, address, err, begin, until)
		if !c.holderTurn || len(c.holders) == 0 {
			sleep(ctx, pause)
			pause = min(maxSeedRetryDelay, pause+seedRetryDelay/4)
		}
	}
	g.Waited = boottime.Since(begin)
	m.sink.PeersGivenUp(g)
	return false
}

// learn takes in what a candidate without data told, and returns until when others are polled.
func (c *candidates) learn(self, address string, err error, begin, until time.Time) time.Time {
	var notYet *notYetError
	if !errors.As(err, &notYet) {
		return until
	}
	c.add(self, notYet.holders)
	if notYet.receiving {
		c.retry(address)
	}
	now := boottime.Now()
	if at := now.Add(progressTimeout); now.Sub(begin) < notYet.newsTimeout() && at.After(until) {
		return at
	}
	return until
}

// maxSilent is how many polls in a row may go without an answer until this instance is taken to be
// partitioned from the others.
const maxSilent = 5

// newsTimeout returns how long after its start an instance waits because of what it was told.
func (e *notYetError) newsTimeout() time.Duration {
	if e.receiving || len(e.holders) > 0 {
		return spreadTimeout
	}
	return readingTimeout
}

// answered reports whether the peer of a failed poll answered.
func answered(err error) bool {
	var failed *peerhttp.Error
	return errors.As(err, &failed) && failed.Status != 0
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
	// maxHolders bounds the holders that are remembered, and maxNamed those that are named at once. They
	// are chosen at random, as the latest ones are still receiving the data.
	maxHolders = 64
	maxNamed   = 8
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
		for _, k := range rand.Perm(len(h.addresses))[:min(maxNamed, len(h.addresses))] {
			others = append(others, h.addresses[k])
		}
		return others, false
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
