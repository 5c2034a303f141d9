//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	quotaRate    = 200.0
	quotaBurst   = 50.0
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20.0
	quotaKey     = "key-of-tenant-one"
	turnedAway   = 9 * time.Second
	quotaClients = 24
	// lateRestart is when processes are killed, after the store has begun to turn machines away.
	lateRestart = 4500 * time.Millisecond
	// hotFrom and hotFor are when the tenant sends beyond its quota, after that.
	hotFrom = 1500 * time.Millisecond
	hotFor  = 6500 * time.Millisecond
)

// counted is one request of the tenant that ran.
type counted struct{ sent, ran time.Time }

// quotaHolders kills and restarts processes while the store turns others away, and then has a tenant
// send more than its quota.
func quotaHolders(trouble bool) (bool, string) {
	zones := []zone{{"za", "ra"}, {"zb", "rb"}, {"zc", "rc"}}
	d := newDeployment(zones, 2)
	current = d
	for name, value := range map[string]string{"quota_window": "5s", "quota_overage": "0.1", "quota_slack": "20", "strict_revoke": "false", "revoke": "5000ms"} {
		d.bounds[name] = value
	}
	d.tenants = []tenant{{name: "one", key: quotaKey, rate: quotaRate, burst: quotaBurst}, {name: "two", key: "key-of-tenant-two"}}
	d.configure(1, route{prefix: "/q/", kind: "idempotent", service: "reads", timeout: 2 * time.Second, attempts: 2})
	var mu sync.Mutex
	sentAt := make(map[string]time.Time)
	var ran []counted
	for i := range 12 {
		d.startUpstream(fmt.Sprintf("i-00%02d", i), "reads", zones[i%3], func(w http.ResponseWriter, r *http.Request, run *run) {
			if r.Header.Get("Tenant") == "one" {
				mu.Lock()
				ran = append(ran, counted{sentAt[run.id], run.began})
				mu.Unlock()
			}
			time.Sleep(5 * time.Millisecond)
			answer(w, run, "ok")
		})
	}
	d.startAll()
	time.Sleep(5 * time.Second)
	away, killed := []*machine{d.machines[0], d.machines[2]}, []*machine{d.machines[1], d.machines[3], d.machines[5]}
	began := time.Now()
	if trouble {
		d.store.turnAway(true, away[0].name, away[1].name)
		note("the store turns %s and %s away", away[0].name, away[1].name)
		time.AfterFunc(turnedAway, func() {
			d.store.turnAway(false, away[0].name, away[1].name)
			note("the store serves all machines again")
		})
	}
	time.Sleep(time.Until(began.Add(lateRestart)))
	for _, m := range killed {
		m.cmd.Process.Kill()
		<-m.ended
		note("%s killed", m.name)
	}
	for _, m := range killed {
		d.start(m, false)
	}
	for _, m := range killed {
		d.awaitReady(m)
	}
	time.Sleep(time.Until(began.Add(lateRestart + hotFrom)))
	note("the tenant sends beyond its quota")
	until := time.Now().Add(hotFor)
	var clients sync.WaitGroup
	for k := range quotaClients {
		clients.Go(func() {
			c, err := connect(d.at(d.machines[k%len(d.machines)], portFront))
			if err != nil {
				unable("connect: %v", err)
			}
			defer c.conn.Close()
			for i := 0; time.Now().Before(until); i++ {
				id := fmt.Sprintf("q-%d-%d", k, i)
				mu.Lock()
				sentAt[id] = time.Now()
				mu.Unlock()
				c.conn.SetDeadline(time.Now().Add(3 * time.Second))
				if _, err := io.WriteString(c.conn, head(http.MethodGet, "/q/"+id, id, 2*time.Second, "Authorization: Bearer "+quotaKey+"\r\n")); err != nil {
					unable("request: %v", err)
				}
				resp, err := http.ReadResponse(c.reader, nil)
				if err != nil {
					unable("answer: %v", err)
				}
				io.Copy(io.Discard, resp.Body)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	note("the tenant has sent %d requests in %s", len(sentAt), hotFor)
	most, at := 0, time.Time{}
	slices.SortFunc(ran, func(a, b counted) int { return a.sent.Compare(b.sent) })
	for i, first := range ran {
		n := 0
		for _, r := range ran[i:] {
			if !r.ran.After(first.sent.Add(quotaWindow)) {
				n++
			}
		}
		if n > most {
			most, at = n, first.sent
		}
	}
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	for i := range 13 {
		from := until.Add(-hotFor + time.Duration(i)*500*time.Millisecond)
		n := 0
		for _, r := range ran {
			if !r.ran.Before(from) && r.ran.Before(from.Add(500*time.Millisecond)) {
				n++
			}
		}
		note("%d requests of the tenant ran in the half second from %.1f s", n, from.Sub(began).Seconds())
	}
	return float64(most) > allowed, fmt.Sprintf("QUOTA: %d requests of the tenant ran in the 5 s from %.3f s after the beginning; allowed are %.0f", most, at.Sub(began).Seconds(), allowed)
}
