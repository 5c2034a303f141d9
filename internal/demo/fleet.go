package demo

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/juju/errors"

	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/emulator/clock"
	"github.com/firlever/firlever/internal/emulator/inproc"
	"github.com/firlever/firlever/internal/emulator/link"
	"github.com/firlever/firlever/internal/emulator/store"
	"github.com/firlever/firlever/internal/emulator/target"
	"github.com/firlever/firlever/internal/invariant"
	"github.com/firlever/firlever/pkg/settings"
)

// loopback is an address whose port the system chooses.
const loopback = "127.0.0.1:0"

// platformPoint is where the platform runs: a failure domain of its own in the
// first region.
const platformPoint = "platform"

// fleet is all that runs: the network, the platform, targets and instances.
type fleet struct {
	cfg      Config
	profile  Profile
	snapshot *settings.Snapshot // of the documents as they were at the start
	docs     []settings.Document

	clock          *clock.Clock
	links          *link.Links
	directory      *directory
	instanceChecks *invariant.Counter // what the instances check themselves
	observerChecks *invariant.Counter // what the journal and the callers see
	journal        *target.Journal
	directJournal  *target.Journal // of the targets that are called directly

	store          *inproc.Store // the operators' own way to the platform, which answers the instances too
	proxies        map[string]*link.Proxy
	targetsStarted uint64              // targets that were started
	targets        []*restartingTarget // the same
	crashes        crashTimes          // of targets under the request that ends them
	directTargets  map[string]string   // address of the target to call directly, by place
	instances      *instanceSet
	details        details
	closers        []func()
}

func newFleet(cfg Config) (*fleet, error) {
	s, err := settings.Compile(cfg.Documents)
	if err != nil {
		return nil, errors.Annotate(err, "demo.newFleet")
	}
	f := &fleet{
		cfg: cfg, profile: profileFor(s), snapshot: s,
		clock: clock.Start(), directory: newDirectory(), instances: newInstanceSet(),
		proxies: make(map[string]*link.Proxy), directTargets: make(map[string]string),
	}
	f.instanceChecks, f.observerChecks = invariant.New(f.details.add), invariant.New(f.details.add)
	f.closers = append(f.closers, f.clock.Close)
	f.links = link.New(locations(s), f.profile.Latency, cfg.Seed, f.clock)
	f.journal = target.NewJournal(f.observerChecks, time.Now().Truncate(time.Second))
	f.directJournal = target.NewJournal(nil, time.Now())
	for _, step := range []func() error{f.startPlatform, f.startTargets, f.seedDocuments, f.startInstances} {
		if err := step(); err != nil {
			f.close()
			return nil, errors.Annotate(err, "demo.newFleet")
		}
	}
	return f, nil
}

// locations are those of the places and of the platform.
func locations(s *settings.Snapshot) map[string]link.Location {
	m := make(map[string]link.Location)
	for i, name := range s.Places() {
		p, _ := s.Place(name)
		m[name] = link.Location{Region: p.Region, Domain: p.Domain}
		if i == 0 {
			m[platformPoint] = link.Location{Region: p.Region, Domain: platformPoint}
		}
	}
	return m
}

// startPlatform serves the platform over TCP, with one proxy for each place so
// that calls take the links.
func (f *fleet) startPlatform() error {
	cfg := store.Defaults()
	cfg.Seed = f.cfg.Seed
	local, err := inproc.New(cfg)
	if err != nil {
		return errors.Trace(err)
	}
	f.store = local
	server := local.Server()
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return errors.Trace(err)
	}
	go server.Serve(ln)
	f.closers = append(f.closers, func() { server.Close() })
	for _, place := range f.snapshot.Places() {
		front, err := net.Listen("tcp", loopback)
		if err != nil {
			return errors.Trace(err)
		}
		p := link.NewProxy(front, f.links, link.At(place), link.At(platformPoint), ln.Addr().String())
		f.proxies[place] = p
		f.closers = append(f.closers, func() { p.Close() })
	}
	return nil
}

// seedDocuments writes the documents with the targets' addresses of this run.
func (f *fleet) seedDocuments() error {
	for _, doc := range f.docs {
		write := fmt.Sprintf("seed-%d", len(doc.Path))
		if _, err := docstore.PutDocument(context.Background(), f.store, doc.Path, 0, doc.Body, write); err != nil {
			return errors.Annotate(err, "fleet.seedDocuments")
		}
	}
	return nil
}

// close ends everything, the last started first.
func (f *fleet) close() {
	for _, p := range f.instances.running() {
		p.kill()
	}
	for i := len(f.closers) - 1; i >= 0; i-- {
		f.closers[i]()
	}
}
