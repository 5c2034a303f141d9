package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

const (
	longUpload   = 1 << 20
	laterVersion = 9 // of the configuration, which no instance of these tests has in force
)

// decliningPeer registers a peer that takes a number of bytes of each body before it declines the hand-off.
func (r *rig) decliningPeer(taken int64) {
	ln, err := net.Listen("tcp", anyPort)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go decline(c, taken)
		}
	}()
	r.store.Put(instancePrefix+"e2", fmt.Appendf(nil, `{"callers":%q,"peers":%q,"handoffs":%q,"domain":"n1","region":"north","cores":1}`,
		unreachableAddress, unreachableAddress, ln.Addr().String()))
}

func decline(c net.Conn, taken int64) {
	defer c.Close()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if q.Header.Get("Expect") != "" {
		io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	io.CopyN(io.Discard, q.Body, taken)
	fmt.Fprintf(c, "HTTP/1.1 503 Declined\r\nRequest-Id: %s\r\n%s: {\"declined\":%q}\r\nContent-Length: 0\r\n\r\n",
		q.Header.Get("Request-Id"), headerHandOff, declinedOldConfig)
	c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	io.Copy(io.Discard, c)
}

var uploadCodings = map[string]bool{"with a length": false, "in chunks": true}

// An upload ran with bytes missing after a peer had taken a part of its body and declined the hand-off.
func TestUploadChangedAfterDeclinedHandOff(t *testing.T) {
	t.Parallel()
	for name, chunks := range uploadCodings {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.configureUploads()
			r.decliningPeer(longUpload / 2)
			good := r.target("good")
			r.register("t1", good.address, "n1", "ready")
			r.start()
			r.waitUsable(1)
			r.node.handOffs.raiseConfig(laterVersion)
			if got := r.upload(longUpload, longUpload, chunks); got != http.StatusServiceUnavailable {
				t.Errorf("got status %d, want 503", got)
			}
			if got := good.requests(); got != 0 {
				t.Errorf("got %d requests at the target, want 0", got)
			}
		})
	}
}

// A peer that declines a long upload does so before any of the body is sent: a target of this instance gets it whole.
func TestUploadRefusedAfterDeclinedHandOff(t *testing.T) {
	t.Parallel()
	for name, chunks := range uploadCodings {
		t.Run(name, func(t *testing.T) {
			var whole atomic.Int64
			r := newRig(t)
			r.configureUploads()
			r.register("t1", r.uploadTarget(&whole), "n1", "ready")
			r.start()
			r.startInstance("e2", "n1")
			r.waitUsable(1)
			r.eventually("the peer is known", func() bool { return len(r.node.instances.names()) == 2 })
			r.node.handOffs.raiseConfig(laterVersion)
			for k := range int64(5) {
				r.node.handOffs.mu.Lock()
				clear(r.node.handOffs.avoidUntil)
				r.node.handOffs.mu.Unlock()
				if got := r.upload(longUpload, longUpload, chunks); got != http.StatusOK || whole.Load() != k+1 {
					t.Errorf("got status %d and %d whole uploads, want 200 and %d", got, whole.Load(), k+1)
				}
			}
		})
	}
}
