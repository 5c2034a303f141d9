package metrics

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// The gauges of an instance on the users' platform are exported under their names.
func TestEdgeGauges(t *testing.T) {
	s := New()
	s.SetEdgeGauges(EdgeGauges{
		Ready: true, ConfigVersion: 7, Revision: 42, StoreAge: 1500 * time.Millisecond, Instances: 9, Connections: 3, OverloadShare: 0.25,
		TargetsStored: 6, ItemsKept: 2, ItemsHidden: 1, RedundantDropped: 11,
		Services: []EdgeService{{Name: "s", Targets: 4, Usable: 2}},
		Bounds:   []Bound{{Name: "retries", Service: "s", Share: 8, Used: 3, Lost: 1.5}, {Name: "quotas", Share: 40, Lent: 7}},
	})
	if err := s.Close(); err != nil { // reports the values that were set
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		"firlever_ready 1", "firlever_config_version 7", "firlever_store_revision 42", "firlever_store_age_seconds 1.5",
		"firlever_instances 9", "firlever_connections 3", "firlever_overload_share 0.25",
		"firlever_targets_stored 6", "firlever_items_kept 2", "firlever_items_hidden 1", "firlever_changes_redundant 11", `firlever_targets{service="s"} 4`, `firlever_targets_usable{service="s"} 2`,
		`firlever_bound_share{bound="retries",service="s"} 8`, `firlever_bound_used{bound="retries",service="s"} 3`,
		`firlever_bound_lost{bound="retries",service="s"} 1.5`, `firlever_bound_lent{bound="quotas",service=""} 7`,
	} {
		if !strings.Contains(w.Body.String(), want+"\n") {
			t.Errorf("got no %q in\n%s", want, w.Body)
		}
	}
	var none *Set
	none.SetEdgeGauges(EdgeGauges{}) // no effect
}

// Workspaces beyond maxWorkspaces share their counters.
func TestQuotaCounters(t *testing.T) {
	s := New()
	for i := range maxWorkspaces + 50 {
		s.CountQuotaRequest(fmt.Sprint("w", i), i%2 == 0)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	text := w.Body.String()
	for _, want := range []string{
		`firlever_quota_requests{outcome="allowed",workspace="w0"} 1`, `firlever_quota_requests{outcome="over-quota",workspace="w1"} 1`,
		`firlever_quota_requests{outcome="allowed",workspace="other"} 25`,
	} {
		if !strings.Contains(text, want+"\n") {
			t.Errorf("got no %q", want)
		}
	}
	if got, limit := strings.Count(text, "firlever_quota_requests{"), 2*(maxWorkspaces+1); got > limit {
		t.Errorf("got %d counters, want at most %d", got, limit)
	}
	var none *Set
	none.CountQuotaRequest("w", true) // no effect
}
