package instance

import (
	"context"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/emulator/inproc"
	"github.com/firlever/firlever/internal/emulator/store"
	"github.com/firlever/firlever/internal/invariant"
	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/pkg/settings"
)

// simulation is a platform store and whole instances in virtual time. Domain d has the
// places d<d>-p<p>, each with its instances and targets.
type simulation struct {
	t       *testing.T
	net     *network
	kv      *inproc.Store
	checks  *invariant.Counter
	nodes   []nodeConfig
	running map[string]*Instance
	stores  map[string]*countingStore
	checked [2]int // writes and reads of the platform's store at the last check
	seed    uint64
}

type nodeConfig struct {
	id, ip, place, domain string
	join                  []string
}

const (
	serviceTimeout  = 2 * time.Second // timeout of the service
	targetsPerPlace = 6
)

// runSimulation runs f with a simulation of so many domains, places per domain and
// instances per place.
func runSimulation(t *testing.T, domains, places, instances int, f func(w *simulation)) {
	t.Helper()
	// The race detector keeps one context for all timers of a synctest bubble (Go 1.26) and
	// crashes when two threads read expired timers at the same time.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(t, domains, places, instances)
		defer func() {
			w.kill(w.all())
			time.Sleep(2 * time.Minute) // lets calls in flight time out
		}()
		f(w)
	})
}

func newSimulation(t *testing.T, domains, places, instances int) *simulation {
	t.Helper()
	checks := invariant.New(func(name invariant.Name, detail string) { t.Errorf("invariant %s: %s", name, detail) })
	local, err := inproc.New(store.Defaults())
	if err != nil {
		t.Fatal(err)
	}
	w := &simulation{
		t: t, net: newNetwork(), kv: local, checks: checks,
		running: make(map[string]*Instance), stores: make(map[string]*countingStore),
	}
	body := "class: interactive\ntimeout: " + serviceTimeout.String() + "\nshift: 10\nplaces:\n"
	for d := range domains {
		for p := range places {
			place := fmt.Sprintf("d%d-p%d", d, p)
			w.put("/places/"+place, 0, fmt.Sprintf("region: r%d\ndomain: d%d\nlimit: 60\n", d, d))
			body += "  " + place + ":\n    limit: 60\n    targets:\n"
			for i := range targetsPerPlace {
				body += fmt.Sprintf("      - {name: t%d-%d-%d, address: \"10.%d.%d.%d:80\", slots: 10, connections: 100}\n", d, p, i, d, p, 200+i)
			}
			for i := range instances {
				w.nodes = append(w.nodes, nodeConfig{
					id: fmt.Sprintf("%s-%d", place, i), ip: fmt.Sprintf("10.%d.%d.%d", d, p, i+1),
					place: place, domain: fmt.Sprintf("d%d", d),
				})
			}
		}
	}
	if _, err := settings.Parse(settings.Document{Path: "/teams/shop/services/orders", Version: 1, Body: []byte(body)}); err != nil {
		t.Fatal(err)
	}
	w.put("/teams/shop/services/orders", 0, body)
	w.setJoin()
	return w
}

// setJoin gives every instance up to three seed addresses.
func (w *simulation) setJoin() {
	for i := range w.nodes {
		for k := range 3 {
			other := w.nodes[(k*len(w.nodes)/3)%len(w.nodes)]
			if other.id != w.nodes[i].id {
				w.nodes[i].join = append(w.nodes[i].join, other.ip+":7200")
			}
		}
	}
}

func (w *simulation) put(path string, version uint64, body string) {
	w.t.Helper()
	w.seed++
	if _, err := docstore.PutDocument(context.Background(), w.kv, path, version, []byte(body), fmt.Sprintf("w%d", w.seed)); err != nil {
		w.t.Fatal(err)
	}
}

func (w *simulation) start(nodes []nodeConfig) {
	w.t.Helper()
	for _, s := range nodes {
		w.seed++
		if w.stores[s.id] == nil {
			w.stores[s.id] = &countingStore{Store: w.kv, calls: make(map[string]int)}
		}
		in, err := New(Config{
			ID: s.id, Callers: s.ip + ":7100", Peers: s.ip + ":7200", Operators: s.ip + ":7300",
			Place: s.place, Domain: s.domain, Region: "r" + s.domain[1:], Join: s.join, Seed: w.seed,
			Store: w.stores[s.id], Checks: w.checks, Dial: w.net.dialer(s.ip), Packet: w.net.packet, Listen: w.net.listen,
		})
		if err != nil {
			w.t.Fatal(err)
		}
		in.Start()
		w.running[s.id] = in
	}
}

func (w *simulation) kill(nodes []nodeConfig) {
	for _, s := range nodes {
		if in := w.running[s.id]; in != nil {
			in.Kill()
			delete(w.running, s.id)
		}
	}
}

func (w *simulation) all() []nodeConfig { return w.nodes }

func (w *simulation) domain(d int) []nodeConfig {
	return slices.DeleteFunc(slices.Clone(w.nodes), func(s nodeConfig) bool { return s.domain != fmt.Sprintf("d%d", d) })
}

// waitFor waits until ok holds, and returns how long that took.
func (w *simulation) waitFor(timeout time.Duration, what string, ok func() bool) time.Duration {
	w.t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > timeout {
			for _, s := range w.nodes {
				if in := w.running[s.id]; in != nil {
					st := in.Status()
					w.t.Logf("%s: confirmed %v, roster %+v, targets %+v", s.id, st.Confirmed, in.roster(), st.Targets)
				}
			}
			w.t.Fatalf("not within %s: %s", timeout, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}

// ready returns a condition that holds if every instance of the nodes has a configuration
// in force.
func (w *simulation) ready(nodes []nodeConfig) func() bool {
	return func() bool {
		for _, s := range nodes {
			if in := w.running[s.id]; in == nil || in.ready() != nil {
				return false
			}
		}
		return true
	}
}

// fullyUsable returns a condition that holds if all slots of the targets in the nodes'
// places are usable, each by one owner.
func (w *simulation) fullyUsable(nodes []nodeConfig) func() bool {
	return func() bool { return w.usableSlots(nodes) == w.limit(nodes) }
}

func (w *simulation) limit(nodes []nodeConfig) int {
	places := make(map[string]bool)
	for _, s := range nodes {
		places[s.place] = true
	}
	return len(places) * targetsPerPlace * 10
}

// usableSlots returns how many slots the instances of the nodes may use now.
func (w *simulation) usableSlots(nodes []nodeConfig) int {
	sum := 0
	for _, s := range nodes {
		if in := w.running[s.id]; in != nil {
			in.dispatcher.WithNode(func(now time.Time, n *core.Node) {
				for _, t := range n.Status(now).Targets {
					sum += t.Usable
				}
			})
		}
	}
	return sum
}

// rostersCurrent returns a condition that holds if the rosters of the nodes' places have
// the nodes' running instances and no previous members.
func (w *simulation) rostersCurrent(nodes []nodeConfig) func() bool {
	return func() bool {
		for _, s := range nodes {
			e, err := w.kv.Get(context.Background(), rosterRoot+s.place)
			if err != nil {
				return false
			}
			r, err := owner.Decode(e.Value, e.Version)
			if err != nil {
				w.t.Fatal(err)
			}
			m, ok := r.Member(s.id)
			if in := w.running[s.id]; !ok || in == nil || m.Incarnation != in.incarnation || len(r.Previous) > 0 {
				return false
			}
		}
		return true
	}
}

// startAll starts all instances and waits until they are in a steady state.
func (w *simulation) startAll() {
	w.t.Helper()
	w.start(w.all())
	w.waitFor(30*time.Second, "documents", w.ready(w.all()))
	w.waitFor(time.Minute, "targets", w.fullyUsable(w.all()))
	time.Sleep(20 * time.Second)
	w.takeCalls(w.all())
	w.checked[0], w.checked[1] = w.storeCalls()
}

// takeCalls returns the calls of the nodes' instances since the last time, summed.
func (w *simulation) takeCalls(nodes []nodeConfig) map[string]int {
	sum := make(map[string]int)
	for _, s := range nodes {
		for call, n := range w.stores[s.id].takeCalls() {
			sum[call] += n
		}
	}
	return sum
}

func (w *simulation) report(what string, nodes []nodeConfig, over time.Duration, calls map[string]int) {
	w.t.Helper()
	line := fmt.Sprintf("%s: %d instances, %s:", what, len(nodes), over)
	for _, call := range slices.Sorted(maps.Keys(calls)) {
		line += fmt.Sprintf(" %s %d (%.2f each)", call, calls[call], float64(calls[call])/float64(len(nodes)))
	}
	w.t.Log(line)
}

// storeCalls returns the calls that write to the platform's store so far, and all reads.
// The renewal of a lease counts as neither.
func (w *simulation) storeCalls() (writes, reads int) {
	writes = w.kv.Calls("/kv-txn") + w.kv.Calls("/kv-lease")
	reads = w.kv.Calls("/kv-key") + w.kv.Calls("/kv-range") + w.kv.Calls("/kv-watch")
	return writes, reads
}

// checkRate checks the calls to the store since the last check: made at the same rate by
// every instance of a fleet of 2,000, they must take no more than a third of the platform's
// limits. calls are those of the instances over the same time, for the log.
func (w *simulation) checkRate(what string, nodes []nodeConfig, over time.Duration, calls map[string]int) {
	w.t.Helper()
	w.report(what, nodes, over, calls)
	const fleet, margin = 2000, 3
	writes, reads := w.storeCalls()
	since := w.checked
	w.checked = [2]int{writes, reads}
	for name, c := range map[string]struct {
		calls int
		most  float64
	}{"writes": {writes - since[0], store.Defaults().Writes}, "reads": {reads - since[1], store.Defaults().Reads}} {
		got := float64(c.calls) / float64(len(nodes)) / over.Seconds() * fleet
		w.t.Logf("%s: %.0f/s by %d instances", name, got, fleet)
		if got > c.most/margin {
			w.t.Errorf("%s: got %.0f %s/s by %d instances, want at most %.0f", what, got, name, fleet, c.most/margin)
		}
	}
}

// checkAtMost checks that no call was made more often in total than allowed.
func (w *simulation) checkAtMost(calls map[string]int, most map[string]float64) {
	w.t.Helper()
	for call, n := range calls {
		if float64(n) > most[call] {
			w.t.Errorf("got %d calls of %s, want at most %.0f", n, call, most[call])
		}
	}
}
