package callers

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/dispatch"
	"github.com/firlever/firlever/internal/targets"
)

// TestLookupBeforeSettings checks that an instance without settings answers look-ups with 503.
// Callers try the next instance after a 503, but give up after a 404.
func TestLookupBeforeSettings(t *testing.T) {
	node, err := core.New(core.Config{
		Instance: "a", Incarnation: 1, Place: "east", Domain: "east", Region: "coast",
	}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	s := New(Config{Instance: "a"}, dispatch.New(node, time.Now, func(core.Decision) {}), targets.New(nil))
	w := httptest.NewRecorder()
	s.Callers().ServeHTTP(w, httptest.NewRequest("GET", "/lookup/shop/orders", nil))
	if got := w.Header().Get(HeaderReason); w.Code != 503 || got != string(core.ReasonNoSettings) {
		t.Errorf("got %d %q, want 503 %q", w.Code, got, core.ReasonNoSettings)
	}
}
