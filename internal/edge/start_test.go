package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/emulator/store"
	"github.com/firlever/firlever/internal/mirror"
	"github.com/firlever/firlever/platform"
)

// When a large fleet started again at once, its instances gave up each other and listed the store, whose
// link they filled: most had no configuration for tens of seconds. It needs the machine for itself.
func TestFleetListsTheStoreAtOnce(t *testing.T) {
	if os.Getenv("FIRLEVER_START") == "" {
		t.Skip("set FIRLEVER_START=1 to run it")
	}
	const (
		size        = 240
		seeds       = 3
		targets     = 3000
		startBound  = 8 * time.Second
		storeRate   = 25e6 // bytes a second: some 15 lists
		seedRate    = 1e6
		linkRate    = 300e3
		bitsPerByte = 8
	)
	i, all := newRegion(size, 3)
	fake := store.New()
	t.Cleanup(fake.Close)
	fake.Put(platform.ConfigKey, []byte("1"))
	for _, c := range all {
		value, err := json.Marshal(record{Callers: c.peers, Peers: c.peers, Domain: c.domain, Region: "r", Cores: c.cores})
		if err != nil {
			t.Fatal(err)
		}
		fake.Put(instancePrefix+c.name, value)
	}
	random := rand.New(rand.NewPCG(1, 1))
	for range targets {
		id := random.Uint32()
		fake.Put(fmt.Sprintf("%si-%08x", platform.TargetPrefix, id), fmt.Appendf(nil, "%x%s", random.Uint64(), bytes.Repeat([]byte("registration "), 20)))
	}
	web := &network{handlers: map[string]http.Handler{}, lines: map[string]*line{}}
	web.add("store", fake, storeRate)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	var addresses []string
	for _, c := range all[:seeds] {
		addresses = append(addresses, c.peers)
	}
	var sinks []*versions
	var storeCalls []*counted
	var mirrors []*mirror.Mirror
	for k, c := range all {
		sink, calls := &versions{}, &counted{network: web}
		peers := mirror.Peers{
			Relays: func() []string { return i.relays("r").parents(c) }, Hops: func() int { return i.relays("r").hops(c) },
			Fallbacks: func() []string { return i.regionPeers("r", c.name) }, Transport: web, Self: c.peers,
			Registered: registeredExcept(c.peers), LinkMbps: seedRate * bitsPerByte / 1e6,
		}
		rate := seedRate
		if k >= seeds {
			peers.Seeds, peers.LinkMbps, rate = addresses, linkRate*bitsPerByte/1e6, linkRate
		}
		m := mirror.New(platform.NewStoreOver("store", calls), sink, peers, compareItems)
		web.add(c.peers, m, rate)
		sinks, storeCalls, mirrors = append(sinks, sink), append(storeCalls, calls), append(mirrors, m)
	}
	for _, m := range mirrors {
		running.Go(func() { m.Run(ctx) })
	}
	late := size
	for end := time.Now().Add(startBound); late > 0 && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		late = 0
		for _, s := range sinks {
			if _, ok := s.has("1"); !ok {
				late++
			}
		}
	}
	if late > 0 {
		t.Errorf("got %d of %d instances without a configuration after %s", late, size, startBound)
	}
	const pages = targets / 50 // a list of the targets takes more calls
	listing := 0
	for _, c := range storeCalls {
		if c.calls.Load() > pages {
			listing++
		}
	}
	if most := seeds + size/10; listing > most {
		t.Errorf("got %d of %d instances that listed the store, want %d at most", listing, size, most)
	}
}
