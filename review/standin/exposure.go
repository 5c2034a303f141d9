package main

import (
	"encoding/json"
	"strings"
	"sync/atomic"
	"time"
)

const (
	silence     = time.Second            // of the watches, before the history is dropped
	reaction    = 400 * time.Millisecond // of the operator, from completed to the next order
	badPart     = 0.5                    // of the answers of the bad version
	badAfter    = 8 * time.Second        // of the start of the bad version
	canaryShare = 0.1
	canarySlack = 50
)

// exposure rolls out a good version and, when it is completed, a bad one. As the first is completed, the
// store forgets its history.
func exposure(w *world, trouble bool) (int, error) {
	p, err := newVersions(w)
	if err != nil {
		return couldNot, err
	}
	var all, bad, early atomic.Int64 // runs since the second order; of the bad version, in touch or not
	var inTouch, deadline atomic.Int64
	running := func(isBad bool) func() {
		return func() {
			now := time.Now().UnixNano()
			switch {
			case deadline.Load() == 0 || now > deadline.Load():
			case !isBad:
				all.Add(1)
			case now < inTouch.Load():
				all.Add(1)
				early.Add(1)
			default:
				all.Add(1)
				bad.Add(1)
			}
		}
	}
	compacted := false
	w.store.onWrite = func(key string, value []byte) {
		var s struct {
			State string `json:"state"`
		}
		if !trouble || compacted || !strings.HasPrefix(key, "status/rollout/") || json.Unmarshal(value, &s) != nil || s.State != "completed" {
			return
		}
		compacted = true
		w.record.result("the watches of the store hear nothing for %s; then its history is dropped", silence)
		inTouch.Store(time.Now().Add(silence + stableWindow).UnixNano())
		w.store.compact(silence)
	}
	t := newTraffic(w)
	begin := time.Now()
	end := begin.Add(2*orderTime + 6*time.Second)
	go t.run(end)
	time.Sleep(time.Second)
	if err := p.order("v2", func(u *upstream) { u.ran = running(false) }); err != nil {
		return couldNot, err
	}
	failed := make(chan error, 1)
	p.seen = func(state string) {
		if state != "v2 completed" {
			return
		}
		time.AfterFunc(reaction, func() {
			deadline.Store(time.Now().Add(orderTime).UnixNano())
			failed <- p.order("v3", func(u *upstream) { u.ran, u.badShare, u.badFrom = running(true), badPart, time.Now().Add(badAfter) })
		})
	}
	go p.follow(end)
	select {
	case err := <-failed:
		if err != nil {
			return couldNot, err
		}
	case <-time.After(time.Until(end)):
		w.record.result("the first rollout was not completed")
		return couldNot, nil
	}
	time.Sleep(time.Until(end))
	t.wait()
	t.judge()
	allowed := canaryShare*float64(all.Load()) + canarySlack
	w.record.result("from its order to its deadline, the bad version got %d requests from instances in touch, of %d for the service; allowed %.0f (%d more came sooner than %s after the store's trouble)",
		bad.Load(), all.Load(), allowed, early.Load(), stableWindow)
	if float64(bad.Load()) > allowed {
		return broken, nil
	}
	return held, nil
}
