package instance

import (
	"context"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/emulator/inproc"
	"github.com/firlever/firlever/internal/emulator/store"
	"github.com/firlever/firlever/internal/emulator/target"
	"github.com/firlever/firlever/internal/invariant"
	"github.com/firlever/firlever/internal/replica"
	"github.com/firlever/firlever/platform"
)

const (
	benchPlace   = 9 // instances per place
	benchSeconds = 5 // length of a measured steady state
	benchDomains = 3
	benchWarmUp  = 8 * time.Second // until all changes of the start have propagated
)

// traffic counts what instances send and receive, and can drop some of it.
type traffic struct {
	udp, tcp atomic.Int64 // bytes sent; for tcp, also received
	packets  atomic.Int64
	lossy    atomic.Bool // drops half of the packets and dials
}

func (tr *traffic) drop() bool { return tr.lossy.Load() && mathrand.IntN(2) == 0 }

type countedPacket struct {
	net.PacketConn
	tr *traffic
}

func (c countedPacket) WriteTo(b []byte, to net.Addr) (int, error) {
	c.tr.udp.Add(int64(len(b)))
	c.tr.packets.Add(1)
	if c.tr.drop() {
		return len(b), nil
	}
	return c.PacketConn.WriteTo(b, to)
}

type countedConn struct {
	net.Conn
	tr *traffic
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.tr.tcp.Add(int64(n))
	return n, err
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.tr.tcp.Add(int64(n))
	return n, err
}

// benchCluster is a cluster of many instances in one process, without targets.
type benchCluster struct {
	b     *testing.B
	store *inproc.Store
	tr    *traffic
	list  []*Instance
}

func newBenchCluster(b *testing.B, services int) *benchCluster {
	local, err := inproc.New(store.Defaults())
	if err != nil {
		b.Fatal(err)
	}
	c := &benchCluster{b: b, store: local, tr: &traffic{}}
	c.put("/blocks/all", 0, "blocks:\n  - {prefix: 127.0.0.0/8, place: p000}\n")
	for i := range 12 {
		c.put("/places/"+benchPlaceName(i), 0, fmt.Sprintf("region: r\ndomain: d%d\nlimit: 4000\n", i%benchDomains))
	}
	for i := range services {
		c.put(fmt.Sprintf("/teams/shop/services/s%d", i), 0, benchService(i))
	}
	return c
}

// benchService returns a service with a target in each place. Nothing listens at the
// targets' addresses.
func benchService(i int) string {
	body := "class: interactive\ntimeout: 2s\nshift: 10\nplaces:\n"
	for p := range 12 {
		body += fmt.Sprintf("  %s:\n    limit: 4\n    targets:\n      - {name: t%d, address: \"127.0.0.1:%d\", slots: 4, connections: 100}\n",
			benchPlaceName(p), p, 1+i*12+p)
	}
	return body
}

func benchPlaceName(i int) string { return fmt.Sprintf("p%03d", i) }

func (c *benchCluster) put(path string, version uint64, body string) {
	if _, err := docstore.PutDocument(context.Background(), c.store, path, version, []byte(body), "bench"); err != nil {
		c.b.Fatal(err)
	}
}

// start starts n instances at once, benchPlace of them in each place. Places are assigned
// to the domains in turn.
func (c *benchCluster) start(n, domains int) {
	for i := range n {
		place := i / benchPlace
		cfg := Config{
			ID: fmt.Sprintf("i%03d", i), Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0",
			Place: benchPlaceName(place), Domain: fmt.Sprintf("d%d", place%domains), Region: "r", Store: c.store,
			Checks: invariant.New(nil), Linger: time.Millisecond, Packet: c.packet, Dial: c.dial,
		}
		for _, other := range c.list[max(0, i-2):] {
			cfg.Join = append(cfg.Join, other.Peers())
		}
		in, err := New(cfg)
		if err != nil {
			c.b.Fatal(err)
		}
		c.list = append(c.list, in)
	}
	for _, in := range c.list {
		in.Start()
	}
}

func (c *benchCluster) packet(address string) (net.PacketConn, error) {
	conn, err := net.ListenPacket("udp", address)
	return countedPacket{PacketConn: conn, tr: c.tr}, err
}

func (c *benchCluster) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if c.tr.drop() {
		return nil, context.DeadlineExceeded
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: conn, tr: c.tr}, nil
}

func (c *benchCluster) stop() {
	for _, in := range c.list {
		in.Kill()
	}
}

// waitFor waits until ok holds for all instances, and returns how long that took.
func (c *benchCluster) waitFor(ok func(*Instance) bool) time.Duration {
	began := time.Now()
	for _, in := range c.list {
		for !ok(in) {
			if time.Since(began) > 2*time.Minute {
				c.b.Fatalf("%s did not reach the state within %s", in.cfg.ID, time.Since(began))
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return time.Since(began)
}

// confirmed waits until each place's roster is complete, and every instance has the other
// instances of its place in its membership.
func (c *benchCluster) confirmed() time.Duration {
	return c.waitFor(func(in *Instance) bool {
		if len(in.members.Members()) < c.ofPlace(in.cfg.Place)-1 {
			return false
		}
		var ok bool
		in.dispatcher.WithNode(func(now time.Time, n *core.Node) {
			r := n.Roster()
			ok = n.Confirmed(now) && len(r.Members) == c.ofPlace(in.cfg.Place) && len(r.Previous) == 0
		})
		return ok
	})
}

func (c *benchCluster) ofPlace(place string) int {
	n := 0
	for _, in := range c.list {
		if in.cfg.Place == place {
			n++
		}
	}
	return n
}

// propagate writes a document and returns how long it takes to reach all instances.
func (c *benchCluster) propagate(version uint64) time.Duration {
	const path = "/teams/shop/services/s0"
	c.put(path, version, benchService(0)+"# changed\n")
	return c.waitFor(func(in *Instance) bool {
		var got uint64
		in.docs.Read(func(s *replica.Set, _ platform.Revision) {
			doc, _ := s.Get(path)
			got = doc.Version
		})
		return got > version
	})
}

func (c *benchCluster) calls() (writes, reads float64) {
	writes = float64(c.store.Calls("/kv-txn") + c.store.Calls("/kv-lease"))
	reads = float64(c.store.Calls("/kv-key") + c.store.Calls("/kv-range") + c.store.Calls("/kv-watch"))
	return writes, reads
}

func processTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// steady measures a steady state, per instance and second.
func (c *benchCluster) steady() {
	each := float64(len(c.list) * benchSeconds)
	udp, tcp, packets, cpu := c.tr.udp.Load(), c.tr.tcp.Load(), c.tr.packets.Load(), processTime(c.b)
	time.Sleep(benchSeconds * time.Second)
	c.b.ReportMetric(float64(c.tr.udp.Load()-udp)/each, "udp-B/s")
	c.b.ReportMetric(float64(c.tr.tcp.Load()-tcp)/each, "tcp-B/s")
	c.b.ReportMetric(float64(c.tr.packets.Load()-packets)/each, "packets/s")
	c.b.ReportMetric(float64((processTime(c.b)-cpu).Microseconds())/each, "cpu-us/s")
}

// BenchmarkCapacityFleet runs n instances over loopback, nine per place in three domains.
// It reports what each sends and its processor time in a steady state, and how long a
// document takes to reach all of them, also with half of the messages dropped.
func BenchmarkCapacityFleet(b *testing.B) {
	for _, n := range []int{9, 27, 99} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				c := newBenchCluster(b, 3)
				c.start(n, benchDomains)
				c.confirmed()
				time.Sleep(benchWarmUp)
				c.steady()
				_, before := c.calls()
				b.ReportMetric(c.propagate(1).Seconds(), "spread-s")
				_, after := c.calls()
				b.ReportMetric(after-before, "spread-reads")
				c.tr.lossy.Store(true)
				b.ReportMetric(c.propagate(2).Seconds(), "lossy-s")
				c.stop()
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// BenchmarkCapacityRooms measures the steady state of a place by the number of its
// services, as the packets with free slots depend on it.
func BenchmarkCapacityRooms(b *testing.B) {
	for _, services := range []int{1, 10, 30} {
		b.Run(fmt.Sprint(services), func(b *testing.B) {
			for range b.N {
				c := newBenchCluster(b, services)
				c.start(benchPlace, 1)
				c.confirmed()
				time.Sleep(benchWarmUp)
				c.steady()
				c.stop()
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// BenchmarkCapacityRestart starts a whole domain at once, and counts the calls to the
// platform until every instance is in its roster with confirmed leases.
func BenchmarkCapacityRestart(b *testing.B) {
	for _, n := range []int{9, 27, 99} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				c := newBenchCluster(b, 3)
				writes, reads := c.calls()
				c.start(n, 1)
				b.ReportMetric(c.confirmed().Seconds(), "whole-s")
				w, r := c.calls()
				b.ReportMetric(w-writes, "writes")
				b.ReportMetric(r-reads, "reads")
				c.stop()
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// BenchmarkCapacityProbe measures what one instance spends on probing n live targets that
// it owns.
func BenchmarkCapacityProbe(b *testing.B) {
	for _, targets := range []int{2, 8, 32} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			for range b.N {
				c := newBenchCluster(b, 0)
				body := fmt.Sprintf("class: interactive\ntimeout: 2s\nshift: 10\nplaces:\n  p000:\n    limit: %d\n    targets:\n", 4*targets)
				for i := range targets {
					body += fmt.Sprintf("      - {name: t%d, address: %q, slots: 4, connections: 100}\n", i, c.target(i))
				}
				c.put("/teams/shop/services/probed", 0, body)
				c.start(1, 1)
				c.confirmed()
				time.Sleep(benchWarmUp)
				c.steady()
				c.stop()
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

func (c *benchCluster) target(i int) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.b.Fatal(err)
	}
	cfg := target.Config{Service: "shop/probed", Place: "p000", Name: fmt.Sprintf("t%d", i), Slots: 4}
	tg, err := target.Start(ln, cfg, target.NewJournal(invariant.New(nil), time.Now()))
	if err != nil {
		c.b.Fatal(err)
	}
	c.b.Cleanup(func() { tg.Close() })
	return tg.Addr()
}
