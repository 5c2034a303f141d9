package mirror

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/firlever/firlever/platform"
)

// newSizedView returns a view of a store with a number of items.
func newSizedView(items int) *view {
	v := newView(byNumber)
	var list []platform.Item
	for i := range items {
		list = append(list, platform.Item{Key: fmt.Sprintf("servers/%05d", i), Value: []byte("value"), Changed: at(uint64(i + 1))})
	}
	v.applyList(start, list, at(uint64(items)), start)
	return v
}

// allocated returns the bytes that f allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// What a change costs does not grow with the number of items in the store.
func TestCostOfAChange(t *testing.T) {
	const changes = 100
	cost := make(map[int]uint64)
	for _, items := range []int{100, 10_000} {
		v := newSizedView(items)
		cost[items] = allocated(func() {
			for i := range changes {
				revision := at(uint64(items + i + 1))
				v.applyBatch(start, batch{events: []platform.Event{putEvent("servers/00007", fmt.Sprint(i), revision)}, revision: revision, confirmedAt: start})
			}
		}) / changes
	}
	if cost[10_000] > 2*cost[100] {
		t.Errorf("got %d bytes a change with 10,000 items, %d with 100", cost[10_000], cost[100])
	}
}

// Many instances that start while changes come get the same whole view, and the changes since.
func TestWholeViewIsEncodedOnce(t *testing.T) {
	v := newSizedView(1000)
	m := &Mirror{view: v}
	var first answer
	for i := range 10 {
		revision := at(uint64(1001 + i))
		v.applyBatch(start, batch{events: []platform.Event{putEvent("servers/00007", fmt.Sprint(i), revision)}, revision: revision, confirmedAt: start})
		e := v.history.since(start, platform.Revision{})
		a, _, err := m.encodeAt(start, platform.Revision{}, e, relayMaxAge)
		if err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			first = a
		}
		if &a.plain[0] != &first.plain[0] {
			t.Fatalf("change %d: got the whole view encoded again", i)
		}
	}
	if e := v.history.since(start, first.revision); !e.covered || len(e.events) != 9 {
		t.Errorf("got %d changes since the whole view, all of them: %t, want 9", len(e.events), e.covered)
	}
	if a, _, _ := m.encodeAt(start.Add(2*wholeTTL), platform.Revision{}, v.history.since(start, platform.Revision{}), relayMaxAge); &a.plain[0] == &first.plain[0] {
		t.Errorf("got the whole view of %s ago", 2*wholeTTL)
	}
}
