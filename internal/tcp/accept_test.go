package tcp

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
)

// failingListener fails with errs, one after the other, and then returns conns until it is closed.
type failingListener struct {
	net.Listener
	errs  []error
	conns chan net.Conn
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) > 0 {
		err := l.errs[0]
		l.errs = l.errs[1:]
		return nil, &net.OpError{Op: "accept", Err: err}
	}
	c, ok := <-l.conns
	if !ok {
		return nil, &net.OpError{Op: "accept", Err: net.ErrClosed}
	}
	return c, nil
}

func TestRetryListener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &failingListener{conns: make(chan net.Conn, 1)}
		for range 20 {
			inner.errs = append(inner.errs, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPROTO)
		}
		near, _ := net.Pipe()
		inner.conns <- near
		want := len(inner.errs)
		failed := 0
		ln := NewRetryListener(inner, func(error) { failed++ })
		if got, err := ln.Accept(); got != near || err != nil {
			t.Errorf("got %v, %v, want a connection", got, err)
		}
		if failed != want {
			t.Errorf("got %d errors, want %d", failed, want)
		}
		close(inner.conns)
		if _, err := ln.Accept(); !errors.Is(err, net.ErrClosed) {
			t.Errorf("got %v after the end, want %v", err, net.ErrClosed)
		}
	})
}
