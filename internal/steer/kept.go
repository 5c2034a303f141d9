package steer

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/firlever/firlever/internal/placement"
	"github.com/firlever/firlever/internal/workingset"
)

// KeptReport is the report of a service's learner.
type KeptReport struct {
	Service uint64 // hash of its name
	workingset.Report
}

// KeptReports returns the reports on the runs at sampled targets, of up to so many runs and services.
// Services that are left out come first in turn. If this instance collects, it learns from the runs
// of all instances.
func (f *Fleet) KeptReports(now time.Time, runs, services int, collecting bool) []KeptReport {
	names := f.LearningServices()
	f.keptRound++
	var reports []KeptReport
	for i := range min(len(names), services) {
		name := names[(f.keptRound+i)%len(names)]
		s := f.services[name]
		f.updateSampled(s)
		s.learner.Collect(collecting)
		r := KeptReport{hash(name), s.learner.NextReport(now, runs)}
		runs -= len(r.Runs)
		reports = append(reports, r)
	}
	return reports
}

// ApplyKeptReports applies the reports of a peer.
func (f *Fleet) ApplyKeptReports(now time.Time, reports []KeptReport) {
	byHash := make(map[uint64]*service)
	for name, s := range f.services {
		byHash[hash(name)] = s
	}
	for _, r := range reports {
		if s := byHash[r.Service]; s != nil {
			f.learn(s).Merge(now, r.Report)
		}
	}
}

// Kept returns how many objects each target of a service keeps warm.
func (f *Fleet) Kept(name string) workingset.Estimate {
	if s, ok := f.services[name]; ok && s.learner != nil {
		return s.learner.Keeps()
	}
	return workingset.Estimate{}
}

// observe records an answered request about an object.
func (f *Fleet) observe(now time.Time, t *target, o *Outcome) {
	if o.Object == "" {
		return
	}
	took := max(o.Took-o.Wait, time.Duration(leastWork*float64(o.Took)))
	f.learn(t.service).Observe(now, workingset.Run{Target: t.runHash(), Object: hash(o.Object), Kind: uint32(hash(o.Kind)), Took: took})
}

// learn returns the learner of a service, and creates it at the first use.
func (f *Fleet) learn(s *service) *workingset.Learner {
	if s.learner == nil {
		var err error
		if s.learner, err = workingset.New(workingset.Config{MaxPairs: maxPairs}); err != nil {
			panic(errors.ErrorStack(err)) // the defaults are valid
		}
		s.sampledOutdated = true
		f.updateSampled(s)
	}
	return s.learner
}

// leastWork is the least part of the time to an answer that counts as work, as expected waits are
// estimates.
const leastWork = 0.25

// maxPairs is how many pairs of a target and an object are remembered for a service, so that those
// of five services take 3 MB.
const maxPairs = 20_000

// updateSampled tells the learner the targets of this region, or of all if it has none: instances of
// a region see nearly all that runs there.
func (f *Fleet) updateSampled(s *service) {
	if !s.sampledOutdated {
		return
	}
	s.sampledOutdated = false
	var own, all []uint64
	for _, t := range s.targets {
		all = append(all, t.runHash())
		if t.region == f.region {
			own = append(own, t.runHash())
		}
	}
	if len(own) > 0 {
		all = own
	}
	s.learner.SetTargets(all)
}

// fitHomes bounds the homes of objects by what targets keep warm. Of each target, the part counts that
// is for the own region, as the objects do.
func (s *service) fitHomes(targets []placement.Target) {
	if s.learner == nil {
		return
	}
	own, slots := 0.0, 0.0
	for _, t := range targets {
		own += t.Own
		slots += t.Slots
	}
	if slots == 0 {
		return
	}
	slots /= float64(len(targets))
	w := workingset.Service{Estimate: s.learner.Keeps(), Targets: int(math.Round(own)), Homes: homeCount}
	s.plan.EachWork(func(work float64) { w.Heats.Add(work/slots, workingset.Place{}) })
	s.fit = workingset.MakePlan(workingset.Config{}, w, s.fit)
	if s.fit.Restricted() {
		s.plan.SetHomes(s.fit.Homes())
	} else {
		s.plan.SetHomes(placement.MaxHomes)
	}
}

// liftBound drops the bound on homes, as no object is asked for.
func (s *service) liftBound() {
	if s.fit.Restricted() {
		s.fit = workingset.Plan{}
		s.plan.SetHomes(placement.MaxHomes)
	}
}

// maxHomes returns how many homes an object has that is placed by its hash.
func (s *service) maxHomes() int {
	if s.fit.Restricted() {
		return min(homeCount, s.fit.Homes())
	}
	return homeCount
}

// KeptNeeded returns how many objects the targets of a service would have to keep for this region, over
// all targets, and how many they keep; 0 if that is not known.
func (f *Fleet) KeptNeeded(name string) (needed, room int) {
	if s, ok := f.services[name]; ok {
		return s.fit.Needed(), s.fit.Room()
	}
	return 0, 0
}

// runHash returns the hash of the target's run: one that restarts keeps nothing.
func (t *target) runHash() uint64 { return mix(t.idHash, uint64(t.Started.UnixNano())) }

// LearningServices returns the names of the services with learners, sorted.
func (f *Fleet) LearningServices() []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(f.services)), func(name string) bool { return f.services[name].learner == nil })
}
