package instance

import (
	"net/http"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/http1"
	"github.com/firlever/firlever/internal/logs"
	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/internal/tcp"
)

// resourceLogRate bounds the log lines a second about what doesn't fit.
const resourceLogRate = 10

// resources divides the memory and the descriptors of the process between what callers, targets and peers
// send and their connections.
type resources struct {
	in       *Instance
	budget   *http1.Budget
	accepted *tcp.ConnLimit
	dialed   *tcp.DialLimit
	lines    *logs.Limiter
}

func newResources(in *Instance) *resources {
	descriptors := tcp.NewDescriptors(in.cfg.Descriptors)
	r := &resources{in: in, budget: http1.NewBudget(http1.RequestMemory(in.cfg.MemoryMB)), lines: logs.NewLimiter(resourceLogRate)}
	r.accepted = tcp.NewConnLimit(min(descriptors.Accepted(), http1.MaxConns(in.cfg.MemoryMB)), r.connClosed)
	r.dialed = tcp.NewDialLimit(descriptors.Dialed(), r.accepted.Open, func() { in.client.Close() })
	return r
}

// connClosed counts and logs that a connection was closed for another, or that there were too many.
func (r *resources) connClosed(port string, reason tcp.CloseReason) {
	r.in.cfg.Metrics.CountDecision(metrics.Decision{Kind: "connection-closed", Service: port, Reason: string(reason)})
	r.warn("connection closed", "port", port, "reason", reason, "open", r.accepted.Open(), "limit", r.accepted.Limit())
}

// full counts and logs that a request doesn't fit into the memory for requests.
func (r *resources) full(port string, err error) {
	r.in.cfg.Metrics.CountDecision(metrics.Decision{Kind: "refuse", Service: port, Reason: "no-memory"})
	r.warn("request not read", "port", port, "reason", "no-memory", "held", r.budget.Held(), "limit", r.budget.Limit(), "err", err)
}

func (r *resources) warn(message string, fields ...any) {
	if suppressed, ok := r.lines.Allow(boottime.Now()); ok && r.in.cfg.Log != nil {
		r.in.cfg.Log.Warn(message, append(fields, "suppressed", suppressed)...)
	}
}

// Times to answer, from when a request was read.
const (
	requestWriteTimeout  = 11 * time.Minute // at the ports of callers and peers: a request may take ten
	operatorWriteTimeout = time.Minute
)

// guard returns the guard of a port. Only maxHeld bytes of a body are held there; 0 if all are.
func (r *resources) guard(port string, maxHeld int64, timeout time.Duration, refuse http.HandlerFunc) *http1.Guard {
	return &http1.Guard{
		Budget: r.budget, Port: r.accepted.Port(port), Refuse: refuse, Copies: http1.RequestCopies, HeldBody: maxHeld, WriteTimeout: timeout,
		OnFull: func(err error) { r.full(port, err) },
	}
}

// memoryRetryAfter is after how many seconds an operator may retry a request that didn't fit.
const memoryRetryAfter = "1"

func refuseOperator(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Retry-After", memoryRetryAfter)
	http.Error(w, "no memory is left for this request", http.StatusServiceUnavailable)
}
