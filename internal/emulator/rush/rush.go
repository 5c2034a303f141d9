// Package rush generates open-loop load: callers send requests to one instance at a fixed rate,
// whether or not earlier ones have been answered, and abandon a request at its timeout.
package rush

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Callers is a set of callers of one instance. They reuse idle connections, and close the
// connection of a request that they abandon.
type Callers struct {
	address     string
	timeout     time.Duration
	requestHead func(id string) string

	answered, refused, abandoned atomic.Int64

	mu   sync.Mutex
	idle []net.Conn // guarded by mu
}

// New returns callers of the instance at address that wait for an answer up to timeout.
// requestHead returns a whole request without a body, for a request ID.
func New(address string, timeout time.Duration, requestHead func(id string) string) *Callers {
	return &Callers{address: address, timeout: timeout, requestHead: requestHead}
}

// Answered returns the number of requests that were answered 200.
func (r *Callers) Answered() int64 { return r.answered.Load() }

// Completed returns the number of requests that ended, with any outcome.
func (r *Callers) Completed() int64 { return r.answered.Load() + r.refused.Load() + r.abandoned.Load() }

func (r *Callers) String() string {
	return fmt.Sprintf("%d answered, %d refused, %d abandoned", r.answered.Load(), r.refused.Load(), r.abandoned.Load())
}

// pollInterval is the time between two checks for requests that are due.
const pollInterval = time.Millisecond

// Run sends requests at a rate per second for a duration, and waits until all have ended. It
// returns the rate of successful answers in the second half, per second.
func (r *Callers) Run(rate float64, duration time.Duration) float64 {
	var sends sync.WaitGroup
	begin, halfAnswered, sent := time.Now(), int64(-1), 0
	for elapsed := time.Duration(0); elapsed < duration; elapsed = time.Since(begin) {
		if elapsed > duration/2 && halfAnswered < 0 {
			halfAnswered = r.answered.Load()
		}
		for due := int(elapsed.Seconds() * rate); sent < due; sent++ {
			id := fmt.Sprintf("%p-%d", r, sent)
			sends.Go(func() { r.send(id) })
		}
		time.Sleep(pollInterval)
	}
	answers := float64(r.answered.Load()-halfAnswered) / (duration / 2).Seconds()
	sends.Wait()
	r.closeIdle()
	return answers
}

func (r *Callers) closeIdle() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.idle {
		c.Close()
	}
	r.idle = nil
}

func (r *Callers) send(id string) {
	deadline := time.Now().Add(r.timeout)
	c := r.takeIdle()
	if c == nil {
		var err error
		if c, err = (&net.Dialer{Deadline: deadline}).Dial("tcp", r.address); err != nil {
			r.abandoned.Add(1)
			return
		}
	}
	status, err := r.exchange(c, deadline, id)
	switch {
	case err != nil:
		r.abandoned.Add(1)
		c.Close()
		return
	case status == http.StatusOK:
		r.answered.Add(1)
	default:
		r.refused.Add(1)
	}
	r.putIdle(c)
}

func (r *Callers) exchange(c net.Conn, deadline time.Time, id string) (status int, err error) {
	if err := c.SetDeadline(deadline); err != nil {
		return 0, err
	}
	if _, err := io.WriteString(c, r.requestHead(id)); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 1<<10), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// takeIdle removes and returns an idle connection, or returns nil if there is none.
func (r *Callers) takeIdle() net.Conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := len(r.idle) - 1
	if last < 0 {
		return nil
	}
	c := r.idle[last]
	r.idle = r.idle[:last]
	return c
}

func (r *Callers) putIdle(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.idle = append(r.idle, c)
}
