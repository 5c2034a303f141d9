package demo

import (
	"net"
	"time"

	"github.com/juju/errors"

	"github.com/firlever/firlever/internal/emulator/link"
	"github.com/firlever/firlever/internal/emulator/target"
	"github.com/firlever/firlever/pkg/settings"
)

// Behaviour of targets that no profile sets.
const (
	serviceTimeSigma = 0.2 // sigma of the log-normal service times
	coldFactor       = 3
	coldRequests     = 50
	coldTime         = 2 * time.Second
	reportLag        = 300 * time.Millisecond
)

// startTargets starts an emulated target for each target of the documents, sets
// the limits in the journal, and replaces the addresses in the documents.
func (f *fleet) startTargets() error {
	addresses := make(map[string]string)
	for _, id := range f.snapshot.Services() {
		service, _ := f.snapshot.Service(id)
		for _, place := range service.Places() {
			site, _ := service.Site(place)
			f.journal.SetLimit(target.Scope{Place: place, Service: id.String()}, site.Limit)
			for _, t := range site.Targets {
				address, err := f.startTarget(f.targetConfig(service, place, t), f.journal)
				if err != nil {
					return err
				}
				addresses[t.Address] = address
			}
		}
	}
	for _, name := range f.snapshot.Places() {
		p, _ := f.snapshot.Place(name)
		f.journal.SetLimit(target.Scope{Place: name}, p.Limit)
	}
	var err error
	f.docs, err = rewrite(f.cfg.Documents, addresses)
	return err
}

func (f *fleet) targetConfig(service *settings.CompiledService, place string, t settings.Target) target.Config {
	w := f.profile.work(service)
	return target.Config{
		Service: service.ID().String(), Place: place, Name: t.Name,
		Slots: t.Slots, Connections: t.Connections,
		ConnectionCost: f.profile.ConnectionCost, ProbeCost: f.profile.ProbeCost,
		Mean: w.MeanServiceTime, Spread: serviceTimeSigma, Seed: f.cfg.Seed + f.targetsStarted,
		Cold: coldFactor, WarmRequests: coldRequests, WarmFor: coldTime,
		Pace: w.Pace, Report: target.Report{Lag: reportLag}, Clock: f.clock,
	}
}

// startDirect starts, in each place of the service, a target for direct calls alone.
func (f *fleet) startDirect(service *settings.CompiledService) error {
	for _, place := range service.Places() {
		site, _ := service.Site(place)
		if len(site.Targets) == 0 {
			continue
		}
		cfg := f.targetConfig(service, place, site.Targets[0])
		cfg.Cold, cfg.WarmRequests, cfg.WarmFor = 1, 0, 0
		address, err := f.startTarget(cfg, f.directJournal)
		if err != nil {
			return err
		}
		f.directTargets[place] = address
	}
	return nil
}

func (f *fleet) startTarget(cfg target.Config, j *target.Journal) (string, error) {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", errors.Annotate(err, "fleet.startTarget")
	}
	f.targetsStarted++
	t := &restartingTarget{f: f, cfg: cfg, journal: j}
	if err := t.start(ln); err != nil {
		ln.Close()
		return "", errors.Annotate(err, "fleet.startTarget")
	}
	f.targets = append(f.targets, t)
	f.closers = append(f.closers, t.close)
	address := ln.Addr().String()
	f.directory.addTarget(address, link.At(cfg.Place))
	return address, nil
}
