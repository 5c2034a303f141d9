package capacity

import "time"

// Size is the size of the system for which the page computes its figures.
type Size struct {
	Instances        float64
	Places           float64
	Domains          float64
	Prefixes         float64
	LookupsPerSecond float64 // in the whole system
	ChangesPerDay    float64 // of documents

	Services  float64 // with targets in one place; assumed
	Targets   float64 // of one service in one place; assumed
	Documents float64 // of services in the whole system; assumed
	BodyBytes float64 // size of a changed document; assumed
}

// TargetSize returns the size that the system has to support in about two years.
func TargetSize() Size {
	return Size{
		Instances: 2000, Places: 230, Domains: 21, Prefixes: 260_000, LookupsPerSecond: 760_000, ChangesPerDay: 5700,
		Services: 10, Targets: 12, Documents: 1000, BodyBytes: 4000,
	}
}

// instancesPerPlace returns the mean number of instances in a place.
func (s Size) instancesPerPlace() float64 { return s.Instances / s.Places }

// instancesPerDomain returns the mean number of instances in a failure domain.
func (s Size) instancesPerDomain() float64 { return s.Instances / s.Domains }

// ownedTargets returns the mean number of targets that an instance owns.
func (s Size) ownedTargets() float64 { return s.Services * s.Targets / s.instancesPerPlace() }

// changesPerSecond returns the mean rate of document changes.
func (s Size) changesPerSecond() float64 { return s.ChangesPerDay / (24 * time.Hour).Seconds() }

// Budgets of a node for control, and of the platform for requests. The rates of the
// platform are its limits with a safety factor of three.
const (
	budgetCore   = 0.012      // of a core
	budgetMemory = 64e6       // bytes
	budgetBytes  = 8000       // bytes/s
	budgetWrites = 400 / 3.0  // requests/s
	budgetReads  = 2000 / 3.0 // requests/s
)

// Parameters of internal/instance. Periods are in seconds, as means over the jitter.
const (
	registerEvery     = 26.5
	listEvery         = 2700.0
	domainListEvery   = 450.0 // by each watcher of a domain
	rosterEvery       = 22.5
	watchEvery        = 20.0
	watchersPerDomain = 2
	listEntryBytes    = 230  // bytes of one instance in the platform's list
	pushFanout        = 3    // peers to which an instance pushes a changed document
	digestBytes       = 2300 // bytes of request and response when two hashes differ
	gcOverhead        = 2    // bytes of heap for each live byte, with the default garbage collector settings
)
