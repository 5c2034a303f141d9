package capacity

import "time"

// Size is the system that the page reckons with.
type Size struct {
	Instances        float64
	Places           float64
	Domains          float64
	Prefixes         float64
	LookupsPerSecond float64 // a second, all together
	ChangesPerDay    float64 // of documents, a day

	Services  float64 // with targets in one place; an assumption of the page
	Targets   float64 // of one service in one place; an assumption of the page
	Documents float64 // of services in the world; an assumption of the page
	BodyBytes float64 // bytes of a changed document; an assumption of the page
}

// TargetSize is the size that has to be carried in about two years.
func TargetSize() Size {
	return Size{
		Instances: 2000, Places: 230, Domains: 21, Prefixes: 260_000, LookupsPerSecond: 760_000, ChangesPerDay: 5700,
		Services: 10, Targets: 12, Documents: 1000, BodyBytes: 4000,
	}
}

// instancesPerPlace is the instances of one place.
func (s Size) instancesPerPlace() float64 { return s.Instances / s.Places }

// instancesPerDomain is the instances of one failure domain.
func (s Size) instancesPerDomain() float64 { return s.Instances / s.Domains }

// ownedTargets is the targets that one instance owns.
func (s Size) ownedTargets() float64 { return s.Services * s.Targets / s.instancesPerPlace() }

// changesPerSecond is the changed documents in one second.
func (s Size) changesPerSecond() float64 { return s.ChangesPerDay / (24 * time.Hour).Seconds() }

// What a node may spend on control, and what the platform takes; its rates are
// to be kept with a margin of three.
const (
	budgetCore   = 0.012 // of a core
	budgetMemory = 64e6  // bytes
	budgetBytes  = 8000  // bytes/s
	budgetWrites = 400 / 3.0
	budgetReads  = 2000 / 3.0
)

// Periods of internal/instance, as their means over the jitter, in seconds.
const (
	registerEvery     = 26.5
	listEvery         = 2700.0
	domainListEvery   = 450.0 // by one watcher of a domain
	rosterEvery       = 22.5
	watchEvery        = 20.0
	watchersPerDomain = 2    // of a failure domain
	listEntryBytes    = 230  // bytes of one instance in the platform's list
	pushFanout        = 3    // peers that an instance pushes a changed document to
	digestBytes       = 2300 // bytes of the question and answer when two hashes differ
	gcOverhead        = 2    // memory in use for each byte that lives, by the garbage collector's default
)
