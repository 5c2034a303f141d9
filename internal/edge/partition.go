package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/http1"
	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/internal/partition"
	"github.com/firlever/firlever/internal/steer"
)

const (
	// probeCount is how many targets a check probes, in as many failure domains as there are: a
	// failure domain that is down must not look like a partition.
	probeCount = 5
	// slowConnect is how long a connect may take before it counts as failed: several round trips
	// between regions.
	slowConnect = 200 * time.Millisecond
	// probeConnectTimeout is how long a probe may take to connect.
	probeConnectTimeout = 300 * time.Millisecond
	// probeAnswerTimeout is how long a probe may take: a target answers it when a slot is free. During a
	// partition it may take longer, as nothing else shows that a busy target is reached again.
	probeAnswerTimeout     = time.Second
	longProbeAnswerTimeout = 3 * time.Second
	// retryAfterPartition: targets are probed about twice a second during a partition.
	retryAfterPartition = 500 * time.Millisecond
)

// reasonPartitioned is the reason for refusing a request while no target can be reached, neither from
// here nor through a peer.
const reasonPartitioned steer.Reason = "partitioned"

// partitionMonitor finds out whether this instance is partitioned from all targets. It is safe for
// concurrent use.
type partitionMonitor struct {
	node     *Node
	dial     http1.Dial  // of connections to targets
	probes   *http1.Pool // keeps no connections
	detected atomic.Bool // the state, for readers without the lock

	mu          sync.Mutex
	detector    *partition.Detector // guarded by mu
	checkDone   chan struct{}       // closed when the check under way, or the last one, has ended; guarded by mu
	dialCtx     context.Context     // of connects for requests; cancelled when a partition is detected, replaced when it ends; guarded by mu
	cancelDials context.CancelFunc  // cancels dialCtx; guarded by mu
}

func newPartitionMonitor(n *Node) *partitionMonitor {
	m := &partitionMonitor{
		node: n, dial: n.cfg.DialTargets, detector: partition.New(), checkDone: make(chan struct{}),
	}
	close(m.checkDone)
	m.dialCtx, m.cancelDials = context.WithCancel(context.Background())
	m.probes = http1.NewPool(m.dialProbe, n.resources.budget)
	return m
}

// partitioned reports whether no target can be reached.
func (m *partitionMonitor) partitioned() bool { return m.detected.Load() }

// dialTarget opens a connection for a request. It is given up when a partition is detected, so that
// the request can go another way in time.
func (m *partitionMonitor) dialTarget(ctx context.Context, network, address string) (net.Conn, error) {
	began := boottime.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	slow := time.AfterFunc(slowConnect, func() {
		m.recordFailure(partition.Failure{Target: address, Began: began, Connect: true})
	})
	defer slow.Stop()
	m.mu.Lock()
	dialCtx := m.dialCtx
	m.mu.Unlock()
	stop := context.AfterFunc(dialCtx, cancel)
	defer stop()
	return m.dial(ctx, network, address)
}

func (m *partitionMonitor) dialProbe(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, probeConnectTimeout)
	defer cancel()
	return m.dial(ctx, network, address)
}

// recordAttempt records how an attempt at a target ended.
func (m *partitionMonitor) recordAttempt(ctx context.Context, r attempt) {
	if r.resp != nil {
		m.mu.Lock()
		m.detector.RecordAnswer(boottime.Now(), r.resp.ConnOpenedAt())
		m.mu.Unlock()
		return
	}
	var unsent *http1.NotSentError
	switch failureOf(ctx, r.err) {
	case "", otherFailure:
	default:
		m.recordFailure(partition.Failure{Target: r.choice.Target.Address, Began: r.start, Connect: errors.As(r.err, &unsent)})
	}
}

// recordFailure records a failed attempt, and starts a check if it is a reason for one.
func (m *partitionMonitor) recordFailure(f partition.Failure) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.detector.RecordFailure(boottime.Now(), f) {
		m.startCheck()
	}
}

// startCheck starts the check that the detector has begun. m.mu is held.
func (m *partitionMonitor) startCheck() {
	m.checkDone = make(chan struct{})
	go m.check(m.checkDone)
}

// confirmReached returns whether some target can be reached, by a check that begins after a failure.
// It is asked before others are told that a target has failed.
func (m *partitionMonitor) confirmReached(failed time.Time) bool {
	for {
		m.mu.Lock()
		checked := m.detector.CheckedSince(failed) || m.detector.Partitioned()
		if !checked && m.detector.BeginCheck(boottime.Now()) {
			m.startCheck()
		}
		done := m.checkDone
		m.mu.Unlock()
		<-done
		if checked {
			return !m.partitioned()
		}
	}
}

// answeredSince reports whether some target has answered after a time.
func (m *partitionMonitor) answeredSince(t time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.AnsweredSince(t)
}

// awaitCheck waits until the check under way, if any, has ended, or until a deadline, and reports
// whether no target can be reached.
func (m *partitionMonitor) awaitCheck(ctx context.Context, deadline time.Time) bool {
	ctx, cancel := context.WithDeadline(ctx, boottime.ToRuntime(deadline))
	defer cancel()
	m.mu.Lock()
	done := m.checkDone
	m.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
	}
	return m.partitioned()
}

// check probes some targets, and goes on until one is reached. done is closed after the first probes.
func (m *partitionMonitor) check(done chan struct{}) {
	for {
		results := m.probe()
		if m.node.ctx.Err() != nil {
			results = nil // the probes ended with the node
		}
		m.mu.Lock()
		now := boottime.Now()
		changed := m.detector.EndCheck(now, results)
		partitioned, since, next := m.detector.Partitioned(), m.detector.Since(), m.detector.NextCheck()
		if changed {
			m.setState(partitioned)
		}
		m.mu.Unlock()
		if done != nil {
			close(done)
			done = nil
		}
		if changed {
			m.stateChanged(now, since, results)
		}
		if !partitioned {
			return
		}
		if boottime.Sleep(m.node.ctx, next); m.node.ctx.Err() != nil {
			return
		}
		m.mu.Lock()
		m.detector.BeginCheck(boottime.Now())
		m.mu.Unlock()
	}
}

// setState publishes a changed state. m.mu is held.
func (m *partitionMonitor) setState(partitioned bool) {
	m.detected.Store(partitioned)
	if partitioned {
		m.cancelDials()
		return
	}
	m.dialCtx, m.cancelDials = context.WithCancel(context.Background())
}

// stateChanged acts on a changed state. Failures during a partition say nothing about the targets.
func (m *partitionMonitor) stateChanged(now, since time.Time, results []partition.Result) {
	n := m.node
	reason := "ended"
	if m.partitioned() {
		reason = "began"
		n.cfg.Log.Warn("partitioned from targets", "probes", results, "first-failure", now.Sub(since), "store-age", n.mirror.Age(now))
	} else {
		n.mu.Lock()
		n.fleet.ForgetFailures()
		n.mu.Unlock()
		n.pool.CloseIdle()
		n.cfg.Log.Info("targets reached again", "probes", results)
	}
	n.cfg.Metrics.CountDecision(metrics.Decision{Kind: "partition", Reason: reason})
	n.registrar.updateSoon()
}

// probe sends a health check to some targets at once and returns what each found, until one has
// answered.
func (m *partitionMonitor) probe() []partition.Result {
	n := m.node
	n.mu.Lock()
	targets := n.fleet.ProbeTargets(boottime.Now(), probeCount)
	n.mu.Unlock()
	timeout := probeAnswerTimeout
	if m.partitioned() {
		timeout = longProbeAnswerTimeout
	}
	ctx, cancel := context.WithTimeout(n.ctx, timeout)
	defer cancel()
	results := make([]partition.Result, len(targets))
	var all sync.WaitGroup
	for i, t := range targets {
		all.Go(func() {
			if results[i] = m.probeTarget(ctx, t); results[i] == partition.Answered {
				cancel()
			}
		})
	}
	all.Wait()
	return results
}

// probeTarget sends a health check to a target. Where its service has none, a connection must do.
func (m *partitionMonitor) probeTarget(ctx context.Context, t steer.Target) partition.Result {
	path := ""
	if current := m.node.rules.Load(); current != nil {
		path = current.Config().Services[t.Service].HealthPath
	}
	if path == "" {
		conn, err := m.dialProbe(ctx, "tcp", t.Address)
		if err != nil {
			return partition.Unreached
		}
		conn.Close()
		return partition.Answered
	}
	resp, err := m.probes.Do(ctx, &http1.Exchange{
		Request: &http1.Request{Method: http.MethodGet, URI: path, Host: t.Address}, Header: make(http.Header),
		Target: t.ID, Address: t.Address, Deadline: boottime.Now().Add(longProbeAnswerTimeout),
		IsAnswer: func(int, http.Header) bool { return true }, KeepConn: func(*http1.Response) bool { return false },
	})
	var unsent *http1.NotSentError
	switch {
	case err == nil:
		resp.Discard()
		return partition.Answered
	case errors.As(err, &unsent):
		return partition.Unreached
	}
	return partition.Connected
}
