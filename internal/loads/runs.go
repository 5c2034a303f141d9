package loads

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/peerhttp"
	"github.com/firlever/firlever/internal/steer"
)

// RunsPath is the path under which an instance accepts the runs at sampled targets.
const RunsPath = "/loads/runs"

const (
	// runInterval is how often runs are told, so that they arrive while the collector still puts
	// the others of that time in order.
	runInterval = time.Second
	// estimateInterval is how often an instance without runs asks for the estimates.
	estimateInterval = 5 * time.Second
	// runBackoff is how long a collector that gave no answer is not called: one of an earlier
	// version never gives any.
	runBackoff = 10 * time.Second
)

// RunPeers is the interface of a RunExchange to its instance. The functions must be safe for
// concurrent use.
type RunPeers struct {
	// Collector returns the address of the instance that collects; "" if it is this one.
	Collector func() string
	// Reports returns the reports of all services, of runs up to most; those of others are told
	// at the next call. Collecting tells whether this instance collects.
	Reports func(now time.Time, most, services int, collecting bool) []steer.KeptReport
	// Receive is called with the reports of a peer.
	Receive func(now time.Time, reports []steer.KeptReport)
	// Failed is called if the collector could not be called or an answer could not be encoded.
	Failed func(err error)
}

// RunExchange tells the collector the runs that this instance has seen at sampled targets, and gets
// how many objects targets keep. As an http.Handler it collects for others.
type RunExchange struct {
	peers  RunPeers
	client *peerhttp.Client

	// Used by the goroutine of Run alone.
	askAt        time.Time // the collector is called then, although there are no runs to tell
	backoffUntil time.Time // no collector is called before
}

// NewRuns returns an exchange.
func NewRuns(peers RunPeers) *RunExchange {
	return &RunExchange{peers: peers, client: peerhttp.New("", 1, maxRunBytes)}
}

// Run exchanges runs periodically until ctx ends.
func (x *RunExchange) Run(ctx context.Context) {
	repeat(ctx, func() time.Duration { return runInterval }, func() { x.exchangeOnce(ctx, boottime.Now()) })
}

// exchangeOnce tells the collector what there is to tell.
func (x *RunExchange) exchangeOnce(ctx context.Context, now time.Time) {
	address := x.peers.Collector()
	reports := x.peers.Reports(now, maxReported, maxReportedServices, address == "")
	if address == "" || len(reports) == 0 || now.Before(x.backoffUntil) {
		return
	}
	runs := 0
	for _, r := range reports {
		runs += len(r.Runs)
	}
	if runs == 0 && now.Before(x.askAt) {
		return
	}
	answer, err := x.ask(ctx, address, reports)
	if err != nil {
		x.backoffUntil = now.Add(runBackoff)
		if ctx.Err() == nil {
			x.peers.Failed(err)
		}
		return
	}
	x.askAt = now.Add(estimateInterval)
	x.peers.Receive(boottime.Now(), answer)
}

// ask sends reports to the collector and reads its answer. It returns a *peerhttp.Error, or the
// error of reports that can't be encoded.
func (x *RunExchange) ask(ctx context.Context, address string, reports []steer.KeptReport) ([]steer.KeptReport, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	body, err := encodeRuns(boottime.Now(), reports)
	if err != nil {
		return nil, errors.Trace(err)
	}
	b, err := x.client.Post(ctx, address, RunsPath, nil, body)
	if err != nil {
		return nil, err
	}
	answer, err := decodeRuns(boottime.Now(), b)
	if err != nil {
		return nil, errors.Trace(&peerhttp.Error{Address: address, Status: http.StatusOK, Err: err})
	}
	return answer, nil
}

// ServeHTTP accepts the runs of an instance, and answers with the estimates.
func (x *RunExchange) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxRunBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	now := boottime.Now()
	reports, err := decodeRuns(now, b)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	x.peers.Receive(now, reports)
	body, err := encodeRuns(now, x.peers.Reports(now, 0, maxReportedServices, x.peers.Collector() == ""))
	if err != nil {
		x.peers.Failed(err)
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Write(body) // an error means that the peer has disconnected
}
