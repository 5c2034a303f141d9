package loads

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/peerhttp"
	"github.com/firlever/firlever/internal/steer"
)

// Path is where an instance takes what others were told.
const Path = "/loads"

const (
	// exchangeInterval is how often an instance tells and asks: a request takes a second of work
	// where reports matter most, so that what is known is younger than the work.
	exchangeInterval = 500 * time.Millisecond
	// answerTimeout is how long an answer may take: some round trips between regions.
	answerTimeout = 400 * time.Millisecond
	// collectorBackoff is how long a collector is left alone that gave no answer.
	collectorBackoff = 2 * time.Second
	// maxMessageBytes bounds what is read of a message, in bytes.
	maxMessageBytes = 32 << 10
)

// Peers is what an Exchange needs of its instance. The functions must be safe for
// concurrent use.
type Peers struct {
	Name string // of this instance
	// Collector is the address of the instance to tell; "" if this one collects.
	Collector func() string
	// Told lists what targets have told this instance itself since a time.
	Told func(since time.Time) steer.Told
	// Hear takes what others were told.
	Hear func(told steer.Told)
	// Failed tells that the collector could not be asked, or an answer not be made.
	Failed func(err error)
}

// Exchange tells and asks the instance that collects, and is an http.Handler that
// collects for others.
type Exchange struct {
	peers       Peers
	name        uint64 // hash of the instance's name
	run         uint64 // of this process
	loads       *reportTable[steer.Report]
	constraints *reportTable[steer.Constraint]
	client      *peerhttp.Client

	// Used by the goroutine of Run alone.
	sentUntil    time.Time // what came until then was told
	lastAnswer   head      // of the collector's last answer
	collector    string    // of the collector that gave it
	backoffUntil time.Time // no collector is asked before
}

// New makes an exchange.
func New(peers Peers) *Exchange {
	return &Exchange{
		peers: peers, name: xxhash.Sum64String(peers.Name), run: uint64(time.Now().UnixNano()), loads: newReportTable[steer.Report](), constraints: newReportTable[steer.Constraint](),
		client: peerhttp.New("", 1, maxMessageBytes),
	}
}

// Run tells and asks until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			x.exchangeOnce(ctx, boottime.Now())
		}
	}
}

// exchangeOnce tells and asks once.
func (x *Exchange) exchangeOnce(ctx context.Context, now time.Time) {
	told := x.peers.Told(x.sentUntil)
	address := x.peers.Collector()
	if address == "" {
		x.sentUntil = now
		x.merge(x.name, told)
		return
	}
	if now.Before(x.backoffUntil) {
		return
	}
	if address != x.collector {
		x.collector, x.lastAnswer = address, head{}
	}
	answer, err := x.ask(ctx, address, message{
		head: head{From: x.name, Run: x.lastAnswer.Run, Loads: x.lastAnswer.Loads, Constraints: x.lastAnswer.Constraints}, told: told,
	})
	if err != nil {
		x.backoffUntil = now.Add(collectorBackoff)
		if ctx.Err() == nil {
			x.peers.Failed(err)
		}
		return
	}
	x.sentUntil, x.lastAnswer = now, answer.head
	x.peers.Hear(answer.told)
}

// merge takes in what an instance was told, and returns what is new of it.
func (x *Exchange) merge(from uint64, told steer.Told) steer.Told {
	return steer.Told{Loads: x.loads.merge(from, told.Loads), Constraints: x.constraints.merge(from, told.Constraints)}
}

// ask sends a message to the collector and reads its answer. It returns a
// *peerhttp.Error, or the error of a message that can't be encoded.
func (x *Exchange) ask(ctx context.Context, address string, m message) (message, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	body, err := m.encode(boottime.Now())
	if err != nil {
		return message{}, errors.Trace(err)
	}
	b, err := x.client.Post(ctx, address, Path, nil, body)
	if err != nil {
		return message{}, err
	}
	answer, err := decode(boottime.Now(), b)
	if err != nil {
		return message{}, errors.Trace(&peerhttp.Error{Address: address, Status: http.StatusOK, Err: err})
	}
	return answer, nil
}

// ServeHTTP takes what an instance was told, and answers with what others were told
// since its last message.
func (x *Exchange) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxMessageBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	now := boottime.Now()
	m, err := decode(now, b)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if news := x.merge(m.From, m.told); len(news.Loads)+len(news.Constraints) > 0 {
		x.peers.Hear(news)
	}
	known := m.head
	if m.Run != x.run {
		known = head{} // it asks for what another process, or none, has told it
	}
	answer := message{head: head{From: x.name, Run: x.run}}
	answer.told.Loads, answer.Loads = x.loads.since(now, known.Loads, m.From, maxLoads)
	answer.told.Constraints, answer.Constraints = x.constraints.since(now, known.Constraints, m.From, maxConstraints)
	body, err := answer.encode(now)
	if err != nil {
		x.peers.Failed(err)
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Write(body) // a peer that has left notices by itself
}
