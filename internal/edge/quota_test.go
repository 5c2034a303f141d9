package edge

import (
	"strconv"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/quota"
)

// A workspace's requests over its quota are refused with Retry-After, whatever another workspace
// sends. A request that could not run takes nothing from the quota.
func TestOverQuota(t *testing.T) {
	r := newRig(t)
	r.configureWorkspaces(1, workspaceJSON("w1", `"k1"`, `,"rate_per_s":2,"burst":10`), workspaceJSON("w2", `"k9"`, ""))
	target := r.target("good")
	r.register("a", target.address, "n1", "ready")
	r.putEarlierRecord()
	r.start()
	r.waitUsable(1)
	r.eventually("tokens have come in", func() bool { return r.sendWith(bearer1, "POST", "/get/x").status == 200 })
	refused := 0
	for range 40 {
		got := r.sendWith(bearer1, "POST", "/do/x")
		if got.status == 429 {
			refused++
			if after, err := strconv.ParseFloat(got.retryAfter, 64); err != nil || after <= 0 {
				t.Errorf("got %+v, want Retry-After", got)
			}
		}
		if other := r.sendWith(bearer9, "POST", "/get/x"); other.status != 200 {
			t.Errorf("got %+v for a workspace without a quota, want 200", other)
		}
	}
	if refused < 10 {
		t.Errorf("got %d of 40 refused, want 10 or more", refused)
	}
}

// putEarlierRecord writes a record of an earlier run of the node to the store. The node then
// gets tokens at once.
func (r *rig) putEarlierRecord() {
	r.store.Put(instancePrefix+"e1", []byte(`{"domain":"n1","region":"north","run":1}`))
}

func TestTokenReturns(t *testing.T) {
	r := newRig(t)
	r.configureWorkspaces(1, workspaceJSON("w1", `"k1"`, `,"rate_per_s":1,"burst":10`))
	r.putEarlierRecord()
	r.start()
	left := func() float64 {
		left := 0.0
		r.node.quotas.WithLedger(func(l *quota.Ledger) { left = l.Retry(time.Now(), "w1").TokensLeft; l.Return(time.Now(), "w1") })
		return left
	}
	r.eventually("tokens have come in", func() bool { return left() > 3 })
	before := left()
	for range 20 { // there is no target
		if got := r.sendWith(bearer1, "POST", "/get/x"); got.status == 200 {
			t.Fatalf("got %+v without a target", got)
		}
	}
	if after := left(); after < before-1 {
		t.Errorf("got %g tokens left of %g after requests that never ran", after, before)
	}
}
