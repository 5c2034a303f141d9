package demo

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// FaultKind is a kind of fault or planned change during a run.
type FaultKind string

// Kinds of faults.
const (
	FaultKill      FaultKind = "kill"      // an instance is killed; a new incarnation replaces it
	FaultDrain     FaultKind = "drain"     // a place is drained and undrained
	FaultStop      FaultKind = "stop"      // an instance is stopped gracefully and started again
	FaultCut       FaultKind = "cut"       // a place is partitioned from all others and from the platform
	FaultPlatform  FaultKind = "platform"  // the platform refuses all calls for a time
	FaultCrash     FaultKind = "crash"     // a poison request, which crashes each target that runs it, is sent repeatedly
	FaultNotice    FaultKind = "notice"    // targets of a place announce a limit, a back-off or that they leave
	FaultPartition FaultKind = "partition" // an instance is partitioned from all targets
	FaultRestore   FaultKind = "restore"   // the platform is restored from a snapshot after a short outage
	FaultKillAll   FaultKind = "kill-all"  // all instances are killed at the same moment; new incarnations replace them at once
	FaultSuspend   FaultKind = "suspend"   // the clocks of all instances advance as if their machines had been suspended
)

var allFaults = []FaultKind{FaultKill, FaultDrain, FaultStop, FaultCut, FaultPlatform, FaultCrash, FaultSuspend, FaultNotice, FaultRestore, FaultPartition, FaultKillAll}

// ParseFaults parses a comma-separated list such as "kill,cut", "none" or "all".
// It returns a *ConfigError for any other word.
func ParseFaults(s string) ([]FaultKind, error) {
	switch s {
	case "", "none":
		return nil, nil
	case "all":
		return slices.Clone(allFaults), nil
	}
	var kinds []FaultKind
	for word := range strings.SplitSeq(s, ",") {
		k := FaultKind(strings.TrimSpace(word))
		if !slices.Contains(allFaults, k) {
			return nil, &ConfigError{Faults: []string{`fault "` + string(k) + `" is not one of none, all, kill, drain, stop, cut, platform, crash, suspend, notice, restore, partition, kill-all`}}
		}
		kinds = append(kinds, k)
	}
	return kinds, nil
}

// Fault is one scheduled fault.
type Fault struct {
	Kind FaultKind     `json:"kind"`
	On   string        `json:"on,omitempty"` // instance or place; empty for faults of the platform, crashes and suspensions
	At   time.Duration `json:"at"`           // start, relative to the start of the load
	Back time.Duration `json:"back"`         // end, relative to the start of the load
}

// Times in a schedule, as fractions of the run.
const (
	earliestStart = 0.15 // of a fault
	latestStart   = 0.45 // of a fault
	faultLength   = 0.4  // duration of a fault
)

// schedule draws one fault of each of the given kinds, ordered by start. The times
// of a fault don't depend on which other kinds are given. The places of a drain, a
// partition and a notice differ, and so do the instances of a kill and a stop, as
// long as there are enough of them.
func schedule(seed uint64, kinds []FaultKind, places, instances []string, total time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, faultStream))
	places, instances = shuffled(rng, places), shuffled(rng, instances)
	var list []Fault
	for _, k := range allFaults {
		at := fraction(total, earliestStart+rng.Float64()*(latestStart-earliestStart))
		if !slices.Contains(kinds, k) {
			continue
		}
		f := Fault{Kind: k, At: at, Back: at + fraction(total, faultLength)}
		switch k {
		case FaultKill, FaultStop, FaultPartition:
			f.On, instances = takeFirst(instances)
		case FaultDrain, FaultCut, FaultNotice:
			f.On, places = takeFirst(places)
		}
		list = append(list, f)
	}
	slices.SortFunc(list, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return list
}

// faultStream separates the random stream of faults from others of the same seed.
const faultStream = 0xfa17

func fraction(d time.Duration, part float64) time.Duration { return time.Duration(float64(d) * part) }

func shuffled(rng *rand.Rand, names []string) []string {
	names = slices.Sorted(slices.Values(names))
	rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

// takeFirst returns the first name and the others. A single name stays in the list.
func takeFirst(names []string) (string, []string) {
	if len(names) == 1 {
		return names[0], names
	}
	return names[0], names[1:]
}
