package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// The gauges of an instance on the users' platform are scraped under their names.
func TestShowEdge(t *testing.T) {
	s := New()
	s.ShowEdge(Edge{
		Ready: true, Version: 7, Revision: 42, StoreAge: 1500 * time.Millisecond, Instances: 9, Connections: 3,
		Services: []EdgeService{{Name: "s", Targets: 4, Usable: 2}},
	})
	if err := s.Close(); err != nil { // reports what was set
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		"firlever_ready 1", "firlever_config_version 7", "firlever_store_revision 42", "firlever_store_age_seconds 1.5",
		"firlever_instances 9", "firlever_connections 3", `firlever_targets{service="s"} 4`, `firlever_targets_usable{service="s"} 2`,
	} {
		if !strings.Contains(w.Body.String(), want+"\n") {
			t.Errorf("got no %q in\n%s", want, w.Body)
		}
	}
	var none *Set
	none.ShowEdge(Edge{}) // keeps nothing
}
