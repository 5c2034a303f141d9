//go:build linux

package soak

import (
	"fmt"
	"syscall"
	"time"

	"github.com/firlever/firlever/internal/emulator/link"
	"github.com/firlever/firlever/internal/emulator/store"
	"github.com/firlever/firlever/internal/notice"
)

// fault begins one fault at random. It ends by itself; others may begin meanwhile.
func (w *world) fault() string {
	e := w.edges[w.rng.IntN(len(w.edges))]
	t := w.targets[w.rng.IntN(len(w.targets))]
	length := time.Duration(100+w.rng.IntN(1200)) * time.Millisecond
	switch w.rng.IntN(22) {
	case 0:
		w.lasting(e.name, func() { e.stop(false); time.Sleep(length / 4); e.start() })
		return "kill " + e.name
	case 1:
		w.lasting(e.name, func() { e.stop(true); e.start() })
		return "stop " + e.name
	case 2:
		w.lasting(e.name, func() { e.signal(syscall.SIGSTOP); time.Sleep(length); e.signal(syscall.SIGCONT) })
		return "pause " + e.name
	case 15, 16:
		// A suspended machine: the process is stopped, and its steady clock with it.
		w.lasting(e.name, func() {
			e.signal(syscall.SIGSTOP)
			time.Sleep(length)
			e.signal(syscall.SIGUSR2)
			e.signal(syscall.SIGCONT)
		})
		return "suspend " + e.name
	case 3:
		e.signal(syscall.SIGHUP)
		return "reload " + e.name
	case 4, 5:
		f := []link.Fault{{Cut: true}, {Refuse: true}, {Delay: 60 * time.Millisecond}, {Loss: 0.3}}[w.rng.IntN(4)]
		w.path(e.name, "store", f, length)
		return fmt.Sprintf("%s to the store: %+v", e.name, f)
	case 6, 7:
		f := []link.Fault{{Cut: true}, {Refuse: true}, {Delay: 100 * time.Millisecond}, {Loss: 0.3}}[w.rng.IntN(4)]
		w.path("edges", t.domain, f, length)
		return fmt.Sprintf("to targets of %s: %+v", t.domain, f)
	case 8:
		f := storeFaults[w.rng.IntN(len(storeFaults))]
		w.lasting("store", func() { w.store.SetFaults(f); time.Sleep(length); w.store.SetFaults(store.Faults{}) })
		return fmt.Sprintf("store: %+v", f)
	case 9:
		w.store.Forget()
		return "store forgets its history"
	case 10:
		w.store.Revoke()
		return "store revokes leases"
	case 11:
		w.lasting(t.name, func() { t.bad.Store(60); time.Sleep(length); t.bad.Store(3) })
		return "bad answers of " + t.name
	case 12:
		for _, t := range w.targets {
			w.lasting(t.name, func() { t.bad.Store(60); time.Sleep(length); t.bad.Store(3) })
		}
		return "bad answers of all targets"
	case 17:
		n := notice.Notice{Limited: true, Limit: float64(w.rng.IntN(40)) / 2}
		w.constrain([]*target{t}, n, 3*length)
		return fmt.Sprintf("%s says %+v", t.name, n)
	case 18, 19:
		n := notice.Notice{Rest: 2 * length}
		w.constrain([]*target{t}, n, length)
		return fmt.Sprintf("%s says %+v", t.name, n)
	case 20:
		n := []notice.Notice{{Rest: length}, {Limited: true, Limit: 10}}[w.rng.IntN(2)]
		w.constrain(w.targets, n, length)
		return fmt.Sprintf("all targets say %+v", n)
	case 21:
		w.leave()
		return "a target says that it leaves"
	case 13:
		w.replace()
		return "replace a target"
	default:
		w.configure()
		return "configure"
	}
}

// storeFaults are what goes wrong with the store for a while.
var storeFaults = []store.Faults{
	{Refuse: true},
	{Silent: true},
	{Deaf: true},
	{Delay: 300 * time.Millisecond},
	{LoseShare: 0.5},
	{LateShare: 0.5, Delay: time.Second},
}

// lasting runs a fault on something, unless one is on it already.
func (w *world) lasting(on string, f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.broken[on] {
		return
	}
	w.broken[on] = true
	w.work.Go(func() {
		f()
		w.mu.Lock()
		defer w.mu.Unlock()
		w.broken[on] = false
	})
}

// path puts a fault on the way there, or there and back.
func (w *world) path(from, to string, f link.Fault, length time.Duration) {
	both := w.rng.IntN(2) == 0
	w.lasting(from+to, func() {
		w.wants.harm(to, 1)
		defer w.wants.harm(to, -1)
		w.links.Set(from, to, f)
		if both {
			w.links.Set(to, from, f)
		}
		time.Sleep(length)
		w.links.Set(from, to, link.Fault{})
		w.links.Set(to, from, link.Fault{})
	})
}

// mostCopies bounds the copies of the store that are kept: the oldest is some seconds old.
const mostCopies = 20

// restoreEvery is how many other faults come for one return of the store.
const restoreEvery = 8

// restore takes a copy of the store, and now and then lets the store come back from one, mostly
// after it was away. What it has lost is written again some time later. It returns "" if it does
// nothing else.
func (w *world) restore() string {
	w.copies = append(w.copies, w.store.Copy())
	w.copies = w.copies[max(0, len(w.copies)-mostCopies):]
	if w.backs.IntN(restoreEvery) != 0 {
		return ""
	}
	k := w.backs.IntN(len(w.copies))
	c := w.copies[k]
	w.copies = w.copies[:k+1]
	f := append(storeFaults[:2:2], store.Faults{})[w.backs.IntN(3)]
	length := time.Duration(w.backs.IntN(1200)) * time.Millisecond
	again := time.Duration(w.backs.IntN(1500)) * time.Millisecond
	w.lasting("store", func() {
		w.store.SetFaults(f)
		time.Sleep(length)
		w.store.GoBack(c)
		w.store.SetFaults(store.Faults{})
		time.Sleep(again)
		w.store.Rewrite()
	})
	return fmt.Sprintf("store goes back by %d of %d copies: %+v, written again after %s", mostCopies-k, mostCopies, f, again)
}

// lastReturn lets the store come back from the oldest copy when all faults are over. Changes go on
// with revisions that were given out before.
func (w *world) lastReturn() {
	w.store.GoBack(w.copies[0])
	time.Sleep(time.Duration(w.backs.IntN(500)) * time.Millisecond)
	w.store.Rewrite()
	w.configure()
}

// replace lets the oldest target leave in plan, and adds another.
func (w *world) replace() {
	old := w.targets[0]
	w.targets = w.targets[1:]
	w.add()
	w.gone = append(w.gone, old)
	old.register(w.store, "draining", 0)
	w.work.Go(func() {
		time.Sleep(leaving)
		old.mu.Lock()
		old.closed = true // it does not come back when it ends
		old.mu.Unlock()
		w.store.Remove("servers/" + old.id())
	})
}

// leaving is how long a target that leaves serves on.
const leaving = 2 * time.Second
