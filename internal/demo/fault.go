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

// The kinds.
const (
	FaultKill     FaultKind = "kill"     // an instance dies; a new incarnation replaces it
	FaultDrain    FaultKind = "drain"    // a place is drained, and undrained
	FaultStop     FaultKind = "stop"     // an instance stops as planned, and starts again
	FaultCut      FaultKind = "cut"      // a place is cut off from all else
	FaultPlatform FaultKind = "platform" // the platform has an outage
	FaultCrash    FaultKind = "crash"    // a request that is sent again and again ends each target that runs it
	FaultNotice   FaultKind = "notice"   // targets of a place say in their answers that they leave, want rest, or name a limit
	FaultRestore  FaultKind = "restore"  // the platform comes back from a copy of itself, after a moment away
	FaultSuspend  FaultKind = "suspend"  // the clocks of all instances go on as if their machines had been suspended
)

var allFaults = []FaultKind{FaultKill, FaultDrain, FaultStop, FaultCut, FaultPlatform, FaultCrash, FaultSuspend, FaultNotice, FaultRestore}

// ParseFaults reads a list such as "kill,cut", "none" or "all". Another word
// gives a *ConfigError.
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
			return nil, &ConfigError{Faults: []string{`fault "` + string(k) + `" is none of none, all, kill, drain, stop, cut, platform, crash, suspend, notice, restore`}}
		}
		kinds = append(kinds, k)
	}
	return kinds, nil
}

// Fault is one event of a schedule.
type Fault struct {
	Kind FaultKind     `json:"kind"`
	On   string        `json:"on,omitempty"` // instance or place; empty for the platform, a crash and a suspension
	At   time.Duration `json:"at"`           // from the first request on
	Back time.Duration `json:"back"`         // when it is undone, from the first request on
}

// Shape of a schedule, in shares of the run.
const (
	earliestStart = 0.15 // the earliest start of a fault
	latestStart   = 0.45 // the latest start of a fault
	faultLength   = 0.4  // of the time for which it lasts
)

// schedule draws one fault of each kind. The place that is cut off is not
// the one that is drained or whose targets want less, and no instance is hit twice.
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
		case FaultKill, FaultStop:
			f.On, instances = takeFirst(instances)
		case FaultDrain, FaultCut, FaultNotice:
			f.On, places = takeFirst(places)
		}
		list = append(list, f)
	}
	slices.SortFunc(list, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return list
}

// faultStream keeps the draws of faults apart from others of the same seed.
const faultStream = 0xfa17

func fraction(d time.Duration, part float64) time.Duration { return time.Duration(float64(d) * part) }

func shuffled(rng *rand.Rand, names []string) []string {
	names = slices.Sorted(slices.Values(names))
	rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

// takeFirst takes the takeFirst name off; the last one stays.
func takeFirst(names []string) (string, []string) {
	if len(names) == 1 {
		return names[0], names
	}
	return names[0], names[1:]
}
