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
	// every is how often an instance tells and asks: a request takes a second of work
	// where reports matter most, so that what is known is younger than the work.
	every = 500 * time.Millisecond
	// answerTime is how long an answer may take: some round trips between regions.
	answerTime = 400 * time.Millisecond
	// pause is how long a collector is left alone that gave no answer.
	pause = 2 * time.Second
	// maxMessage bounds what is read of a message, in bytes.
	maxMessage = 32 << 10
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
	loads       *board[steer.Report]
	constraints *board[steer.Constraint]
	client      *peerhttp.Client

	// Used by the goroutine of Run alone.
	told    time.Time // what came until then was told
	heard   head      // of the collector's last answer
	address string    // of the collector that gave it
	alone   time.Time // no collector is asked before
}

// New makes an exchange.
func New(peers Peers) *Exchange {
	return &Exchange{
		peers: peers, name: xxhash.Sum64String(peers.Name), run: uint64(time.Now().UnixNano()), loads: newBoard[steer.Report](), constraints: newBoard[steer.Constraint](),
		client: peerhttp.New("", 1, maxMessage),
	}
}

// Run tells and asks until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			x.turn(ctx, boottime.Now())
		}
	}
}

// turn tells and asks once.
func (x *Exchange) turn(ctx context.Context, now time.Time) {
	told := x.peers.Told(x.told)
	address := x.peers.Collector()
	if address == "" {
		x.told = now
		x.add(x.name, told)
		return
	}
	if now.Before(x.alone) {
		return
	}
	if address != x.address {
		x.address, x.heard = address, head{}
	}
	answer, err := x.ask(ctx, address, message{
		head: head{From: x.name, Run: x.heard.Run, Loads: x.heard.Loads, Constraints: x.heard.Constraints}, told: told,
	})
	if err != nil {
		x.alone = now.Add(pause)
		if ctx.Err() == nil {
			x.peers.Failed(err)
		}
		return
	}
	x.told, x.heard = now, answer.head
	x.peers.Hear(answer.told)
}

// add takes in what an instance was told, and returns what is new of it.
func (x *Exchange) add(from uint64, told steer.Told) steer.Told {
	return steer.Told{Loads: x.loads.add(from, told.Loads), Constraints: x.constraints.add(from, told.Constraints)}
}

// ask sends a message to the collector and reads its answer. It returns a
// *peerhttp.Error, or the error of a message that can't be encoded.
func (x *Exchange) ask(ctx context.Context, address string, m message) (message, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTime)
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
	b, err := io.ReadAll(io.LimitReader(r.Body, maxMessage))
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
	if news := x.add(m.From, m.told); len(news.Loads)+len(news.Constraints) > 0 {
		x.peers.Hear(news)
	}
	known := m.head
	if m.Run != x.run {
		known = head{} // it asks for what another process, or none, has told it
	}
	answer := message{head: head{From: x.name, Run: x.run}}
	answer.told.Loads, answer.Loads = x.loads.since(now, known.Loads, m.From, mostLoads)
	answer.told.Constraints, answer.Constraints = x.constraints.since(now, known.Constraints, m.From, mostConstraints)
	body, err := answer.encode(now)
	if err != nil {
		x.peers.Failed(err)
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Write(body) // a peer that has left notices by itself
}
