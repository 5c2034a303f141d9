package link

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
)

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// echo reads each connection to its end, and then sends back what it read.
func echo(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			b, _ := io.ReadAll(c)
			_, _ = c.Write(b)
			_ = c.Close()
		}()
	}
}

func TestProxy(t *testing.T) {
	ln := listen(t)
	defer ln.Close()
	go echo(ln)
	l := testLinks()
	p := NewProxy(listen(t), l, At("a"), At("b"), ln.Addr().String())
	defer p.Close()

	roundTrip := func() (string, error) {
		c, err := net.Dial("tcp", p.Addr())
		if err != nil {
			return "", err
		}
		defer c.Close()
		if _, err := c.Write([]byte("over")); err != nil {
			return "", err
		}
		_ = c.(*net.TCPConn).CloseWrite()
		b, err := io.ReadAll(c)
		return string(b), err
	}
	if got, err := roundTrip(); got != "over" || err != nil {
		t.Errorf("got %q and %v, want the echo", got, err)
	}
	l.SetBoth("a", "b", Fault{Refuse: true})
	if got, err := roundTrip(); err == nil {
		t.Errorf("got %q, want a reset", got)
	}
	l.Clear()
	if got, err := roundTrip(); got != "over" || err != nil {
		t.Errorf("got %q and %v after the fault, want the echo", got, err)
	}
}

func TestProxyBreaksBothEnds(t *testing.T) {
	ln := listen(t)
	defer ln.Close()
	l := testLinks()
	p := NewProxy(listen(t), l, At("a"), At("b"), ln.Addr().String())
	near, far := connect(t, p, ln)
	defer near.Close()
	defer far.Close()
	l.SetBoth("a", "b", Fault{Refuse: true})
	ends := map[string]func() error{
		"near": func() error { return readOne(near) },
		"far":  func() error { return readOne(far) },
		"new":  func() error { return dialAndRead(p) },
	}
	for name, read := range ends {
		if err := read(); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("got %v at the %s end, want a reset", err, name)
		}
	}
	if err := p.Close(); err != nil {
		t.Errorf("got %v, want a clean close", err)
	}
}

func readOne(c net.Conn) error {
	_, err := c.Read(make([]byte, 1))
	return err
}

// dialAndRead returns the reset, which may come from opening the connection or from a read.
func dialAndRead(p *Proxy) error {
	c, err := net.Dial("tcp", p.Addr())
	if err != nil {
		return err
	}
	defer c.Close()
	return readOne(c)
}

func dial(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// connect returns both ends of a connection through p, after one byte has been transferred.
func connect(t *testing.T, p *Proxy, ln net.Listener) (near, far net.Conn) {
	t.Helper()
	near = dial(t, p)
	if _, err := near.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	far, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := far.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	return near, far
}
