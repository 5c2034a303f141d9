// Package peer runs the membership protocol between instances over UDP.
package peer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/member"
	"github.com/firlever/firlever/internal/wire"
)

// DecodeError means that a datagram can't be decoded as a packet.
type DecodeError struct {
	Size int // bytes
	Err  error
}

func (e *DecodeError) Error() string {
	return fmt.Sprintf("peer: datagram of %d bytes can't be decoded: %v", e.Size, e.Err)
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// SizeError means that a datagram is empty or larger than a packet may be.
type SizeError struct{ Size int }

func (e *SizeError) Error() string {
	return fmt.Sprintf("peer: datagram of %d bytes, want 1 to %d", e.Size, wire.MaxPacket)
}

// Counts holds what a UDP has sent, received and rejected.
type Counts struct {
	Sent, SentBytes         uint64
	Received, ReceivedBytes uint64
	Unsent                  uint64 // packets that could not be encoded or that the socket refused
	Undecodable             uint64 // datagrams that can't be decoded, and read errors
	Rejected                uint64 // packets that the list rejected
}

type counters struct {
	sent, sentBytes, received, receivedBytes, unsent, undecodable, rejected atomic.Uint64
}

// Hooks are callbacks of a UDP, never called under its lock. Each may be nil.
type Hooks struct {
	// Received is called with each packet that the list accepted, and the time of its receipt.
	Received func(time.Time, *wire.Packet)
	// FreeSlots is called with each packet that contains only free slots.
	FreeSlots func(*wire.Packet)
	// Prepare completes a packet just before it is sent. cause is the packet that it answers, nil
	// if it answers none.
	Prepare func(p, cause *wire.Packet)
	// Changed receives the list's changes, in order, from one goroutine at a time.
	Changed func([]member.Change)
}

// UDP runs a member.List over one socket. It is safe for concurrent use.
type UDP struct {
	conn     net.PacketConn
	hooks    Hooks
	wake     chan struct{} // holds one token when the timer must be reset
	counters counters

	mu         sync.Mutex // guards the fields below
	list       *member.List
	changes    []member.Change // not yet delivered, oldest first
	delivering bool            // a goroutine is calling the Changed hook
}

// NewUDP returns a UDP that runs list over conn.
func NewUDP(conn net.PacketConn, list *member.List, hooks Hooks) *UDP {
	return &UDP{conn: conn, list: list, hooks: hooks, wake: make(chan struct{}, 1)}
}

// Run sends and receives until ctx is done, then closes the socket and returns nil. If the socket
// is closed earlier, it returns the socket's error.
func (u *UDP) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() {
		<-ctx.Done()
		_ = u.conn.Close() // ends the read loop; nothing is buffered
	})
	wg.Go(func() { u.runTicks(ctx) })
	err := u.read(ctx)
	cancel()
	wg.Wait()
	return err
}

// Do calls f with the list under the lock, sends the packets that it returns and delivers the
// changes. f must not keep the list.
func (u *UDP) Do(f func(now time.Time, l *member.List) []member.Send) { u.do(nil, f) }

// do is Do for answers to a packet.
func (u *UDP) do(cause *wire.Packet, f func(now time.Time, l *member.List) []member.Send) {
	u.mu.Lock()
	sends := f(boottime.Now(), u.list)
	u.changes = append(u.changes, u.list.Changes()...)
	u.mu.Unlock()
	u.deliverChanges() // before sending: an ack implies that this instance has processed what it answers
	for _, s := range sends {
		u.prepare(s.Packet, cause)
		u.send(s)
	}
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// deliverChanges calls the Changed hook with the pending changes, from one goroutine at a time and
// in order.
func (u *UDP) deliverChanges() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for !u.delivering && len(u.changes) > 0 {
		changes := u.changes
		u.changes = nil
		if u.hooks.Changed == nil {
			return
		}
		u.delivering = true
		u.mu.Unlock()
		u.hooks.Changed(changes)
		u.mu.Lock()
		u.delivering = false
	}
}

// Counts returns the totals so far.
func (u *UDP) Counts() Counts {
	t := &u.counters
	return Counts{
		Sent: t.sent.Load(), SentBytes: t.sentBytes.Load(),
		Received: t.received.Load(), ReceivedBytes: t.receivedBytes.Load(),
		Unsent: t.unsent.Load(), Undecodable: t.undecodable.Load(), Rejected: t.rejected.Load(),
	}
}

// runTicks calls Tick when it is due.
func (u *UDP) runTicks(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			u.Do(func(now time.Time, l *member.List) []member.Send { return l.Tick(now) })
		case <-u.wake:
		}
		u.mu.Lock()
		next := u.list.Next()
		u.mu.Unlock()
		timer.Reset(boottime.Until(next))
	}
}

// read receives datagrams until the socket is closed or ctx is done.
func (u *UDP) read(ctx context.Context) error {
	// One byte more than a packet may have reveals one that is too large.
	buf := make([]byte, wire.MaxPacket+1)
	for {
		n, _, err := u.conn.ReadFrom(buf)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return errors.Annotate(err, "UDP.Run")
		case err != nil:
			u.counters.undecodable.Add(1) // some systems report a refused send here
			if !waitAfterError(ctx) {
				return nil
			}
		default:
			u.receive(buf[:n])
		}
	}
}

// readErrorDelay prevents a socket that only fails from using a whole core.
const readErrorDelay = 5 * time.Millisecond

func waitAfterError(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(readErrorDelay):
		return true
	}
}

func (u *UDP) receive(data []byte) {
	u.counters.received.Add(1)
	u.counters.receivedBytes.Add(uint64(len(data)))
	p, err := Decode(data)
	if err != nil {
		u.counters.undecodable.Add(1)
		return
	}
	if p.GetKind() == wire.Kind_KIND_UNSPECIFIED {
		u.receiveFreeSlots(p)
		return
	}
	var at time.Time
	u.do(p, func(now time.Time, l *member.List) []member.Send {
		var sends []member.Send
		at = now
		sends, err = l.Receive(now, p)
		return sends
	})
	if err != nil {
		u.counters.rejected.Add(1)
		return
	}
	if u.hooks.Received != nil {
		u.hooks.Received(at, p)
	}
}

func (u *UDP) receiveFreeSlots(p *wire.Packet) {
	if u.hooks.FreeSlots != nil {
		u.hooks.FreeSlots(p)
	}
}

func (u *UDP) prepare(p, cause *wire.Packet) {
	if u.hooks.Prepare != nil {
		u.hooks.Prepare(p, cause)
	}
}

// Send sends one packet that doesn't come from the list.
func (u *UDP) Send(address string, p *wire.Packet) { u.send(member.Send{To: address, Packet: p}) }

// Decode decodes one datagram. The error is a *SizeError or a *DecodeError.
func Decode(data []byte) (*wire.Packet, error) {
	if len(data) == 0 || len(data) > wire.MaxPacket {
		return nil, &SizeError{Size: len(data)}
	}
	p := &wire.Packet{}
	if err := proto.Unmarshal(data, p); err != nil {
		return nil, &DecodeError{Size: len(data), Err: err}
	}
	return p, nil
}

func (u *UDP) send(s member.Send) {
	data, err := proto.Marshal(s.Packet)
	if err != nil || len(data) > wire.MaxPacket {
		u.counters.unsent.Add(1)
		return
	}
	to, err := netip.ParseAddrPort(s.To)
	if err != nil {
		u.counters.unsent.Add(1)
		return
	}
	if _, err := u.conn.WriteTo(data, net.UDPAddrFromAddrPort(to)); err != nil {
		u.counters.unsent.Add(1) // equivalent to a lost packet: the list probes again
		return
	}
	u.counters.sent.Add(1)
	u.counters.sentBytes.Add(uint64(len(data)))
}
