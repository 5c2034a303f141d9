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

// A peer that falls behind while all targets of a large deployment register gets the changes since,
// and not the whole view, which many would ask for at once.
func TestPeerBehindARegistrationWave(t *testing.T) {
	const items, wave, perBatch = 1000, 10_000, 200
	v := newSizedView(items)
	at0 := v.history.latest()
	for i := 0; i < wave; i += perBatch {
		var events []platform.Event
		for j := i; j < i+perBatch; j++ {
			events = append(events, putEvent(fmt.Sprintf("servers/n%05d", j), "1", at(uint64(items+j+1))))
		}
		v.applyBatch(start, batch{events: events, revision: at(uint64(items + i + perBatch)), confirmedAt: start})
	}
	for behind, covered := range map[int]bool{perBatch: true, wave / 2: true, wave: true} {
		e := v.history.since(start, at(uint64(items+wave-behind)))
		if e.covered != covered || covered && len(e.events) != behind {
			t.Errorf("%d changes behind: got %d changes, covered %t, want them all", behind, len(e.events), e.covered)
		}
	}
	for i := range 4 * wave { // the same targets change again
		revision := at(uint64(items + wave + i + 1))
		v.applyBatch(start, batch{events: []platform.Event{putEvent(fmt.Sprintf("servers/n%05d", i%wave), fmt.Sprint(i), revision)}, revision: revision, confirmedAt: start})
	}
	if e := v.history.since(start, at0); e.covered || len(v.history.events) > (items+wave)*(trimParts+1)/trimParts {
		t.Errorf("got %d changes kept, the first of them: %t, want %d and a part at most", len(v.history.events), e.covered, items+wave)
	}
}
