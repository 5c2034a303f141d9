package link

import (
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// recordingConn is a socket that records the times of the packets sent.
type recordingConn struct {
	net.PacketConn
	mu    sync.Mutex
	times []time.Time
}

func (s *recordingConn) WriteTo(b []byte, _ net.Addr) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.times = append(s.times, time.Now())
	return len(b), nil
}

func TestPackets(t *testing.T) {
	const n = 1000
	tests := map[string]struct {
		fault    Fault
		min, max int
		delay    time.Duration
	}{
		"in order":   {Fault{}, n, n, 2 * ms},
		"delayed":    {Fault{Delay: ms}, n, n, 3 * ms},
		"cut":        {Fault{Partition: true}, 0, 0, 0},
		"half lost":  {Fault{Loss: 0.5}, n * 4 / 10, n * 6 / 10, 2 * ms},
		"duplicated": {Fault{Duplicate: 1}, 2 * n, 2 * n, 2 * ms},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := testLinks()
				l.Set("a", "b", tt.fault)
				s := &recordingConn{}
				c := l.PacketConn(s, At("a"), func(net.Addr) Point { return At("b") })
				start := time.Now()
				for range n {
					if _, err := c.WriteTo([]byte("x"), nil); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(time.Second)
				s.mu.Lock()
				defer s.mu.Unlock()
				if got := len(s.times); got < tt.min || got > tt.max {
					t.Errorf("got %d packets, want %d to %d", got, tt.min, tt.max)
				}
				for _, at := range s.times {
					if got := at.Sub(start); got != tt.delay {
						t.Fatalf("got a packet after %s, want %s", got, tt.delay)
					}
				}
			})
		})
	}
}
