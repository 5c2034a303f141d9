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

// Path is the path under which an instance accepts the reports that others received.
const Path = "/loads"

const (
	// shortestInterval bounds how often an instance exchanges reports with the collector.
	shortestInterval = 100 * time.Millisecond
	// answerTimeout is how long an answer may take: some round trips between regions.
	answerTimeout = 400 * time.Millisecond
	// collectorBackoff is how long a collector that gave no answer is not called.
	collectorBackoff = 2 * time.Second
	// maxMessageBytes bounds what is read of a message.
	maxMessageBytes = 32 << 10
)

// Peers is the interface of an Exchange to its instance. The functions must be safe for concurrent
// use.
type Peers struct {
	Name string // of this instance
	// LinkMbps is the bandwidth of this instance's link; 0 if not known.
	LinkMbps float64
	// Collector returns the address of the instance that collects; "" if it is this one.
	Collector func() string
	// Interval returns after which time to exchange reports again.
	Interval func() time.Duration
	// Reports returns the reports that this instance has received from targets itself since a time.
	// A load may be returned once only.
	Reports func(since time.Time) steer.TargetReports
	// Receive is called with reports that other instances received.
	Receive func(reports steer.TargetReports)
	// Failed is called if the collector could not be called or an answer could not be encoded.
	Failed func(err error)
}

// Exchange exchanges reports with the instance that collects. As an http.Handler it collects for
// others.
type Exchange struct {
	peers       Peers
	name        uint64 // hash of the instance's name
	run         uint64 // identifies this process
	loads       *reportTable[steer.LoadReport]
	constraints *reportTable[steer.Constraint]
	answers     answerBudget
	client      *peerhttp.Client

	// Used by the goroutine of Run alone.
	sentUntil    time.Time          // reports received until then have been sent
	lastAnswer   head               // head of the collector's last answer
	collector    string             // address of the collector that gave it
	backoffUntil time.Time          // no collector is called before
	unanswered   []steer.LoadReport // that the last message held, if it got no answer
}

// New returns an exchange.
func New(peers Peers) *Exchange {
	return &Exchange{
		peers: peers, name: xxhash.Sum64String(peers.Name), run: uint64(time.Now().UnixNano()), loads: newReportTable[steer.LoadReport](), constraints: newReportTable[steer.Constraint](),
		answers: newAnswerBudget(peers.LinkMbps), client: peerhttp.New("", 1, maxMessageBytes),
	}
}

// Run exchanges reports periodically until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	repeat(ctx, x.interval, func() { x.exchangeOnce(ctx, boottime.Now()) })
}

// repeat calls do after each interval until ctx ends.
func repeat(ctx context.Context, interval func() time.Duration, do func()) {
	timer := time.NewTimer(interval())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			timer.Reset(interval())
			do()
		}
	}
}

func (x *Exchange) interval() time.Duration { return max(shortestInterval, x.peers.Interval()) }

// exchangeOnce exchanges reports once.
func (x *Exchange) exchangeOnce(ctx context.Context, now time.Time) {
	address := x.peers.Collector()
	if address != "" && now.Before(x.backoffUntil) {
		return
	}
	reports := x.peers.Reports(x.sentUntil)
	reports.Loads = x.withUnanswered(now, reports.Loads)
	if address == "" {
		x.sentUntil, x.unanswered = now, nil
		x.merge(x.name, reports)
		return
	}
	if address != x.collector {
		x.collector, x.lastAnswer = address, head{}
	}
	answer, err := x.ask(ctx, address, message{
		head: head{From: x.name, Run: x.lastAnswer.Run, Loads: x.lastAnswer.Loads, Constraints: x.lastAnswer.Constraints}, reports: reports,
	})
	if err != nil {
		x.backoffUntil, x.unanswered = now.Add(collectorBackoff), reports.Loads
		if ctx.Err() == nil {
			x.peers.Failed(err)
		}
		return
	}
	x.sentUntil, x.lastAnswer, x.unanswered = now, answer.head, nil
	x.peers.Receive(answer.reports)
}

// withUnanswered returns load reports with those that got no answer and that none of them replaces.
func (x *Exchange) withUnanswered(now time.Time, reports []steer.LoadReport) []steer.LoadReport {
	replaced := make(map[uint64]bool, len(reports))
	for _, r := range reports {
		replaced[r.Target] = true
	}
	for _, r := range x.unanswered {
		if !replaced[r.Target] && now.Sub(r.At) <= maxReportAge {
			reports = append(reports, r)
		}
	}
	return reports
}

// merge adds the reports of an instance, and returns the new ones.
func (x *Exchange) merge(from uint64, reports steer.TargetReports) steer.TargetReports {
	return steer.TargetReports{Loads: x.loads.merge(from, reports.Loads), Constraints: x.constraints.merge(from, reports.Constraints)}
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

// collect adds the reports of a message, and returns the answer.
func (x *Exchange) collect(now time.Time, m message) message {
	if newer := x.merge(m.From, m.reports); len(newer.Loads)+len(newer.Constraints) > 0 {
		x.peers.Receive(newer)
	}
	known := m.head
	if m.Run != x.run {
		known = head{} // its sequence numbers are those of another process, or of none
	}
	answer := message{head: head{From: x.name, Run: x.run}}
	answer.reports.Constraints, answer.Constraints = x.constraints.since(now, known.Constraints, m.From, maxConstraints)
	most := x.answers.loads(now, len(answer.reports.Constraints))
	answer.reports.Loads, answer.Loads = x.loads.since(now, known.Loads, m.From, most)
	return answer
}

// ServeHTTP accepts the reports that an instance has received, and answers with those that others
// have sent since its last message.
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
	answer := x.collect(now, m)
	body, err := answer.encode(now)
	if err != nil {
		x.peers.Failed(err)
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Write(body) // an error means that the peer has disconnected
}
