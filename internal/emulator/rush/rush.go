// Package rush plays callers who send requests to one instance at a rate, whether or not
// others have been answered, and leave when an answer takes too long.
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

// Rush is a crowd of such callers. They keep their connections, and close one on which an
// answer is due when they leave.
type Rush struct {
	address string
	timeout time.Duration
	head    func(id string) string

	answered, refused, left atomic.Int64

	mu   sync.Mutex
	idle []net.Conn // guarded by mu
}

// New makes callers of an instance who wait for timeout. head is a whole request without a
// body, by its ID.
func New(address string, timeout time.Duration, head func(id string) string) *Rush {
	return &Rush{address: address, timeout: timeout, head: head}
}

// Answered is how many requests got an answer with success.
func (r *Rush) Answered() int64 { return r.answered.Load() }

// All is how many requests ended.
func (r *Rush) All() int64 { return r.answered.Load() + r.refused.Load() + r.left.Load() }

func (r *Rush) String() string {
	return fmt.Sprintf("%d answered, %d refused, %d left", r.answered.Load(), r.refused.Load(), r.left.Load())
}

// pace is the pause between two looks at what is due.
const pace = time.Millisecond

// Play sends at a rate, in requests a second, for a time, and returns the answers a second in
// its second half.
func (r *Rush) Play(rate float64, length time.Duration) float64 {
	var work sync.WaitGroup
	begin, half, sent := time.Now(), int64(-1), 0
	for took := time.Duration(0); took < length; took = time.Since(begin) {
		if took > length/2 && half < 0 {
			half = r.answered.Load()
		}
		for due := int(took.Seconds() * rate); sent < due; sent++ {
			id := fmt.Sprintf("%p-%d", r, sent)
			work.Go(func() { r.send(id) })
		}
		time.Sleep(pace)
	}
	answers := float64(r.answered.Load()-half) / (length / 2).Seconds()
	work.Wait()
	r.hangUp()
	return answers
}

func (r *Rush) hangUp() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.idle {
		c.Close()
	}
	r.idle = nil
}

func (r *Rush) send(id string) {
	deadline := time.Now().Add(r.timeout)
	c := r.kept()
	if c == nil {
		var err error
		if c, err = (&net.Dialer{Deadline: deadline}).Dial("tcp", r.address); err != nil {
			r.left.Add(1)
			return
		}
	}
	status, err := r.exchange(c, deadline, id)
	switch {
	case err != nil:
		r.left.Add(1)
		c.Close()
		return
	case status == http.StatusOK:
		r.answered.Add(1)
	default:
		r.refused.Add(1)
	}
	r.keep(c)
}

func (r *Rush) exchange(c net.Conn, deadline time.Time, id string) (status int, err error) {
	if err := c.SetDeadline(deadline); err != nil {
		return 0, err
	}
	if _, err := io.WriteString(c, r.head(id)); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 1<<10), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// kept returns a connection that is open; nil if there is none.
func (r *Rush) kept() net.Conn {
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

func (r *Rush) keep(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.idle = append(r.idle, c)
}
