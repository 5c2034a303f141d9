//go:build review

package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	stableWindow = 3 * time.Second
	outage       = 8 * time.Second
	mostStale    = 3 // answers of the directory that may name an ended machine
)

// deadInLookup loses a machine for good while the store is down, and asks the directory of the others
// once the store is stable again.
func deadInLookup(trouble bool) (bool, string) {
	zones := []zone{{"za", "ra"}, {"zb", "ra"}}
	d := newDeployment(zones, 2)
	current = d
	d.configure(1, route{prefix: "/q/", kind: "idempotent", service: "reads", timeout: 2 * time.Second, attempts: 2})
	for i := range 4 {
		d.startUpstream(fmt.Sprintf("i-00%02d", i), "reads", zones[i%2], func(w http.ResponseWriter, _ *http.Request, run *run) {
			answer(w, run, "ok")
		})
	}
	d.startAll()
	time.Sleep(4 * time.Second)
	dead, living := d.machines[0], d.machines[1:]
	renewed := make(chan struct{}, 1)
	d.store.watchRenewals(func(key string) {
		if strings.HasSuffix(key, "/"+dead.name) {
			select {
			case renewed <- struct{}{}:
			default:
			}
		}
	})
	select {
	case <-renewed:
	case <-time.After(20 * time.Second):
		unable("%s renews no lease of the store", dead.name)
	}
	time.Sleep(300 * time.Millisecond)
	dead.cmd.Process.Kill()
	<-dead.ended
	killed := time.Now()
	note("%s has lost its power for good", dead.name)
	if trouble {
		d.store.setDown(true)
		note("the store is down")
	}
	time.Sleep(outage)
	if trouble {
		d.store.setDown(false)
		note("the store is back")
	}
	from := later(killed.Add(stableWindow+3*time.Second), time.Now().Add(stableWindow))
	time.Sleep(time.Until(from) + 50*time.Millisecond)
	note("the store has been stable for %s, and %s has been dead for %s", stableWindow, dead.name, time.Since(killed))
	stale, asked := 0, 0
	address := d.at(dead, portFront)
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
		for _, m := range living {
			list, err := d.resolve(m, dead.zone)
			asked++
			if err != nil || !slices.Contains(list, address) {
				continue
			}
			if slices.ContainsFunc(living, func(l *machine) bool { return slices.Contains(list, d.at(l, portFront)) }) {
				stale++
				note("%s names %s: %v", m.name, dead.name, list)
			}
		}
	}
	return stale > mostStale, fmt.Sprintf("DRAIN: %d of %d answers of the directory named a machine that had ended, beside a running one", stale, asked)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
