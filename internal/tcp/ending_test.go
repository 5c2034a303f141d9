package tcp

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// A peer that resets a connection while a write is in progress looked like one that has closed it: the write got
// the error, and reads the end of the stream.
func TestResetLooksLikeTheEnd(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct {
		end  func(c *net.TCPConn)
		want error
	}{
		"reset":                   {func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, syscall.ECONNRESET},
		"closed with unread data": {func(c *net.TCPConn) { c.Close() }, syscall.ECONNRESET},
		"closed":                  {func(c *net.TCPConn) { io.Copy(io.Discard, c); c.Close() }, io.EOF},
		"end, then reset": {func(c *net.TCPConn) {
			c.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			c.SetLinger(0)
			c.Close()
		}, io.EOF},
		"end of one direction": {func(c *net.TCPConn) { c.CloseWrite(); io.Copy(io.Discard, c); c.Close() }, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for range 10 {
				if got := readDuringWrite(t, tt.end, name == "closed"); !errors.Is(got, tt.want) {
					t.Errorf("got %v from the read, want %v", got, tt.want)
				}
			}
		})
	}
}

// readDuringWrite connects to a peer that sends a part and ends the connection, and returns the error of reading it
// while a long write is in progress, which has failed by then; or after a short one.
func readDuringWrite(t *testing.T, end func(c *net.TCPConn), short bool) error {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		c.Read(make([]byte, 1))
		io.WriteString(c, "part")
		time.Sleep(10 * time.Millisecond) // the part arrives before the end
		end(c.(*net.TCPConn))
	}()
	c, err := NewDialer("").Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	if short {
		c.Write([]byte("x"))
		c.(interface{ CloseWrite() error }).CloseWrite()
	} else {
		c.Write(make([]byte, 32<<20))
	}
	for {
		if _, err := c.Read(make([]byte, 64)); err != nil {
			return err
		}
	}
}
