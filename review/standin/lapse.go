package main

import (
	"time"
)

const (
	outageTime   = 4500 * time.Millisecond // as on the site's days
	outageAfter  = 4 * time.Second         // from the restart
	downTime     = time.Second             // of the processes at the final fault
	recovery     = 15 * time.Second
	recoverShare = 0.25
)

// lapse kills all instances at once, as the final fault does, and starts them again. The store is away
// for some seconds after that.
func lapse(w *world, trouble bool) (int, error) {
	if _, err := newVersions(w); err != nil {
		return couldNot, err
	}
	t := newTraffic(w)
	begin := time.Now()
	end := begin.Add(8*time.Second + downTime + recovery + 12*time.Second)
	go t.run(end)
	time.Sleep(8 * time.Second)
	sent, served := t.totals()
	w.record.result("before the final fault: %d sent, %d served", sent, served)
	for _, i := range w.instances {
		i.kill()
	}
	time.Sleep(downTime)
	for _, i := range w.instances {
		if err := i.start(); err != nil {
			return couldNot, err
		}
	}
	back := time.Now()
	t.mu.Lock()
	t.lateFrom = back.Add(recovery)
	t.mu.Unlock()
	w.record.result("all instances have been killed, and are started again")
	time.Sleep(outageAfter)
	if trouble {
		w.record.result("the store answers nothing for %s; leases and entries run out", outageTime)
		w.store.outage(outageTime)
		w.record.result("the store answers again")
		time.Sleep(2500 * time.Millisecond)
		w.record.result("%d of %d upstreams have written their entries again", len(w.store.keys("servers/")), 22)
	}
	time.Sleep(time.Until(end))
	t.wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	sent, served = t.late[0], t.late[1]
	w.record.result("later than %s after the restart: %d sent, %d served", recovery, sent, served)
	if float64(served) < recoverShare*float64(sent) {
		return broken, nil
	}
	return held, nil
}

// totals returns how many requests were sent and served so far.
func (t *traffic) totals() (sent, served int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range kinds {
		sent, served = sent+t.sent[k.name], served+t.served[k.name]
	}
	return sent, served
}
