package edge

import (
	"net/http"
	"runtime/debug"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/http1"
	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/internal/tcp"
	"github.com/firlever/firlever/platform"
)

// resources divides the memory and the descriptors of the process between what callers, targets and peers
// send and their connections.
type resources struct {
	node     *Node
	budget   *http1.Budget  // of what is held for callers, targets and peers
	accepted *tcp.ConnLimit // of accepted connections
	dialed   *tcp.DialLimit // of connections to targets
}

func newResources(n *Node) *resources {
	s := &n.cfg.Settings
	memory := n.cfg.memoryMB()
	descriptors := tcp.NewDescriptors(s.Descriptors)
	r := &resources{node: n, budget: http1.NewBudget(http1.RequestMemory(memory))}
	r.accepted = tcp.NewConnLimit(min(descriptors.Accepted(), http1.MaxConns(memory)), r.connClosed)
	r.dialed = tcp.NewDialLimit(descriptors.Dialed(), r.accepted.Open, func() { n.pool.CloseIdle() })
	return r
}

// defaultMemoryMB is assumed if the platform sets no limit.
const defaultMemoryMB = 256

func (c *Config) memoryMB() int {
	if c.Settings.MemoryMB > 0 {
		return c.Settings.MemoryMB
	}
	return defaultMemoryMB
}

// LimitMemory makes the garbage collector keep the process within its memory, if the platform limits that.
func (c *Config) LimitMemory() {
	if c.Settings.MemoryMB > 0 {
		debug.SetMemoryLimit(http1.HeapLimit(c.Settings.MemoryMB))
	}
}

// connClosed counts and logs that a connection was closed for another, or that there were too many.
func (r *resources) connClosed(port string, reason tcp.CloseReason) {
	n := r.node
	n.cfg.Metrics.CountDecision(metrics.Decision{Kind: "connection-closed", Service: port, Reason: string(reason)})
	if suppressed, ok := n.failureLimiter.Allow(boottime.Now()); ok {
		n.cfg.Log.Warn("connection closed", "port", port, "reason", reason, "open", r.accepted.Open(), "limit", r.accepted.Limit(), "suppressed", suppressed)
	}
}

// maxWebHeader bounds heads at the ports for look-ups, readiness, peers and metrics, in bytes.
const maxWebHeader = 256 << 10

// webWriteTimeout bounds the time to answer at those ports: the longest answer of a relay takes ten seconds.
const webWriteTimeout = 30 * time.Second

// guard returns the guard of a port for look-ups, readiness, peers or metrics.
func (r *resources) guard(port string) *http1.Guard {
	n := r.node
	return &http1.Guard{
		Budget: r.budget, Port: r.accepted.Port(port), Copies: 1, WriteTimeout: webWriteTimeout,
		Refuse: func(w http.ResponseWriter, _ *http.Request) {
			platform.SetRetryAfter(w.Header(), retryAfterNoMemory)
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		OnFull: func(err error) {
			n.cfg.Metrics.CountDecision(metrics.Decision{Kind: "refuse", Service: port, Reason: refusedNoMemory.reason})
			if suppressed, ok := n.failureLimiter.Allow(boottime.Now()); ok {
				n.cfg.Log.Warn("request not read", "port", port, "reason", refusedNoMemory.reason, "held", r.budget.Held(), "limit", r.budget.Limit(), "suppressed", suppressed, "err", err)
			}
		},
	}
}
