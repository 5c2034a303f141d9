package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// upstream is a stand-in for a sound upstream.
type upstream struct {
	id, service, version, zone, address string
	slots, queue                        int
	work                                time.Duration
	store                               *store
	record                              *record

	ran      func()    // called when it begins to work; may be nil
	badShare float64   // of its answers that are failures
	badFrom  time.Time // from then on

	mu       sync.Mutex
	running  int
	waiting  int
	free     chan struct{} // one element for each free slot
	sequence int
	written  string    // state and warm-up time as registered
	born     int64     // start, in Unix milliseconds
	warm     time.Time // cold until then
	leaving  bool
	gone     bool
	ln       net.Listener
	conns    map[net.Conn]struct{}
}

func startUpstream(u *upstream) error {
	u.born = time.Now().UnixMilli()
	u.free = make(chan struct{}, u.slots)
	for range u.slots {
		u.free <- struct{}{}
	}
	ln, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	u.ln, u.conns = ln, make(map[net.Conn]struct{})
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			u.conns[c] = struct{}{}
			u.mu.Unlock()
			go u.serve(c)
		}
	}()
	go func() {
		for u.beat() {
			time.Sleep(heartbeat + rand.N(heartbeat/4))
		}
	}()
	return nil
}

// drain reports that the upstream is leaving, and stops it after a time.
func (u *upstream) drain(after time.Duration) {
	u.mu.Lock()
	u.leaving = true
	u.mu.Unlock()
	u.beat()
	time.AfterFunc(after, u.stop)
}

// stop ends the upstream at once.
func (u *upstream) stop() {
	u.mu.Lock()
	u.gone = true
	for c := range u.conns {
		c.Close()
	}
	u.mu.Unlock()
	u.ln.Close()
	u.store.delete("servers/" + u.id)
}

const heartbeat = 1500 * time.Millisecond

// beat writes the registration if more than its sequence has changed or the store has lost it. It
// returns false when the upstream has ended.
func (u *upstream) beat() bool {
	u.mu.Lock()
	gone, state := u.gone, "ready"
	if u.leaving {
		state = "draining"
	}
	u.sequence++
	sequence := u.sequence
	u.mu.Unlock()
	switch {
	case gone:
		return false
	case u.store.isDown():
		return true // the next beat tries again
	}
	left := fmt.Sprintf("%dms", max(0, time.Until(u.warm).Milliseconds()))
	key := "servers/" + u.id
	it, _ := u.store.read(key)
	u.mu.Lock()
	same := it.Key != "" && u.written == state+left
	u.written = state + left
	u.mu.Unlock()
	if same {
		return true
	}
	u.store.put(key, map[string]any{
		"address": u.address, "born": u.born,
		"info":   map[string]any{"service": u.service, "version": u.version, "zone": u.zone, "capacity": u.slots},
		"status": map[string]any{"state": state, "sequence": sequence, "warmup_left": left},
	})
	return true
}

// load returns the value of Server-Load.
func (u *upstream) load() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", u.running, u.waiting, u.slots)
}

// enter takes a slot, or a place in the queue and then a slot. It returns false if both are full.
func (u *upstream) enter() bool {
	u.mu.Lock()
	if u.running+u.waiting >= u.slots+u.queue {
		u.mu.Unlock()
		return false
	}
	u.waiting++
	u.mu.Unlock()
	<-u.free
	u.mu.Lock()
	u.waiting--
	u.running++
	u.mu.Unlock()
	return true
}

func (u *upstream) leave() {
	u.mu.Lock()
	u.running--
	u.mu.Unlock()
	u.free <- struct{}{}
}

// serve answers the requests of a connection, one at a time.
func (u *upstream) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !u.answer(c, r) {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
}

func (u *upstream) answer(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Request-Id")
	send := func(status int, header, body string) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nServer-Load: %s\r\nKeep-Alive: timeout=10\r\n%sContent-Length: %d\r\n\r\n%s",
			status, http.StatusText(status), id, u.load(), header, len(body), body)
		return err == nil
	}
	switch {
	case r.URL.Path == "/health":
		return send(http.StatusOK, "Instance-Id: "+u.id+"\r\n", "")
	case id == "":
		return send(http.StatusBadRequest, "Not-Executed: 1\r\n", "")
	case r.Header.Get("Target-Instance") != "" && r.Header.Get("Target-Instance") != u.id:
		return send(http.StatusMisdirectedRequest, "Instance-Id: "+u.id+"\r\n", "")
	case !u.enter():
		u.record.add("upstream %s is full and rejects %s", u.id, id)
		return send(http.StatusServiceUnavailable, "Not-Executed: 1\r\n", "")
	}
	defer u.leave()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		u.record.add("upstream %s: body of %s not whole after %d bytes: %v", u.id, id, len(body), err)
		return false
	}
	u.record.add("upstream %s (%s %s) runs %s", u.id, u.service, u.version, id)
	if u.ran != nil {
		u.ran()
	}
	time.Sleep(u.work)
	if time.Now().After(u.badFrom) && rand.Float64() < u.badShare {
		return send(http.StatusInternalServerError, "Response-Signature: "+id+".1\r\n", "failed "+id)
	}
	return send(http.StatusOK, "Response-Signature: "+id+".1\r\n", "done "+id)
}
