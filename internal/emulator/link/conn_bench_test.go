package link

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/emulator/clock"
)

// BenchmarkRoundTrip measures the round trip of one byte over loopback, plain and through links
// of the given one-way delay.
func BenchmarkRoundTrip(b *testing.B) {
	c := clock.Start()
	defer c.Close()
	benches := map[string]struct {
		delay time.Duration // negative: no links
		clock *clock.Clock
	}{
		"plain":           {-1, nil},
		"0ms":             {0, c},
		"1.5ms":           {1500 * time.Microsecond, c},
		"1.5ms, no clock": {1500 * time.Microsecond, nil},
	}
	for name, bb := range benches {
		b.Run(name, func(b *testing.B) {
			c := dialEcho(b, bb.delay, bb.clock)
			defer c.Close()
			one := make([]byte, 1)
			for b.Loop() {
				_, _ = c.Write(one)
				if _, err := io.ReadFull(c, one); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkBulk measures the throughput over loopback, plain and through a link of 1.5 ms.
func BenchmarkBulk(b *testing.B) {
	cl := clock.Start()
	defer cl.Close()
	for name, delay := range map[string]time.Duration{"plain": -1, "1.5ms": 1500 * time.Microsecond} {
		b.Run(name, func(b *testing.B) {
			const size = 1 << 20
			c := dialEcho(b, delay, cl)
			defer c.Close()
			b.SetBytes(size)
			part := make([]byte, size)
			go func() {
				for {
					if _, err := c.Write(part); err != nil {
						return
					}
				}
			}()
			got := make([]byte, size)
			for b.Loop() {
				if _, err := io.ReadFull(c, got); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// dialEcho connects to a server that echoes each byte at once.
func dialEcho(b *testing.B, delay time.Duration, cl *clock.Clock) net.Conn {
	b.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() {
		far, err := ln.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(far, struct{ io.Reader }{far})
		_ = far.Close()
	}()
	b.Cleanup(func() { _ = ln.Close() })
	var c net.Conn
	if delay < 0 {
		c, err = net.Dial("tcp", ln.Addr().String())
	} else {
		l := New(nil, Latency{Domain: delay}, 1, cl)
		c, err = l.DialContext(context.Background(), At("a"), At("a"), ln.Addr().String())
	}
	if err != nil {
		b.Fatal(err)
	}
	return c
}
