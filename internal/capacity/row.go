package capacity

import (
	"fmt"
	"strings"
)

// Row is one figure of the page, a row of its table.
type Row struct {
	Role       string
	Figure     string
	Value      float64
	Unit       string
	Budget     float64 // 0 if there is none
	Benchmarks string  // names of those that the value is computed from
}

// MissingError reports that a benchmark has not been recorded.
type MissingError struct{ Name, Unit string }

func (e *MissingError) Error() string {
	return "capacity: no record of BenchmarkCapacity" + e.Name + " in " + e.Unit
}

// measureSet looks up measures and records an error for the first missing one.
type measureSet struct {
	measures []Measure
	err      error
}

func (set *measureSet) measure(name, unit string) Measure {
	for _, m := range set.measures {
		if m.Name == name && m.Unit == unit {
			return m
		}
	}
	if set.err == nil {
		set.err = &MissingError{Name: name, Unit: unit}
	}
	return Measure{Points: []Point{{Runs: []float64{0}}}}
}

func (set *measureSet) slope(name, unit string) float64 { return set.measure(name, unit).Fit().Slope }

// at returns the cost at a size: the median if that size was measured, otherwise the
// value of the fitted line.
func (set *measureSet) at(name, unit string, size float64) float64 {
	m := set.measure(name, unit)
	for _, p := range m.Points {
		if p.Size == size {
			return p.Median()
		}
	}
	return m.Fit().At(size)
}

// tableBytes returns the memory of the table of blocks.
func (set *measureSet) tableBytes(s Size) float64 {
	return s.Prefixes * set.at("Build", "bytes/prefix", s.Prefixes)
}

// Rows computes every figure of the page. The error is a *MissingError.
func Rows(measures []Measure, s Size) ([]Row, error) {
	set := &measureSet{measures: measures}
	var rows []Row
	for _, section := range []func(*measureSet, Size) []Row{
		lookup, request, ownership, membership, configuration, health, platform, node,
	} {
		rows = append(rows, section(set, s)...)
	}
	return rows, set.err
}

func lookup(set *measureSet, s Size) []Row {
	perNode := s.LookupsPerSecond / s.Instances
	handler := set.at("Handler", "ns/op", s.instancesPerPlace())
	http := set.at("HTTPLookup", "ns/op", s.instancesPerPlace())
	return []Row{
		{"look-up", "in the core, service of 23 places", set.at("CoreLookupPlaces", "ns/op", 23) / 1e3, "us", 0, "CoreLookupPlaces"},
		{"look-up", "whole handler, without sockets", handler / 1e3, "us", 0, "Handler"},
		{"look-up", "over HTTP on loopback, client included", http / 1e3, "us", 0, "HTTPLookup"},
		{"look-up", "a node's share", perNode, "/s", 0, ""},
		{"look-up", "of a core for it, client's part included", 100 * perNode * http / 1e9, "%", 0, "HTTPLookup"},
		{"look-up", "prefix found in the table", set.at("Lookup", "ns/op", s.Prefixes), "ns", 0, "Lookup"},
		{"look-up", "memory of the table", set.tableBytes(s) / 1e6, "MB", 0, "Build"},
	}
}

func request(set *measureSet, s Size) []Row {
	return []Row{
		{"request path", "decisions of one request in the core", set.at("StepTargets", "ns/op", s.Targets) / 1e3, "us", 0, "StepTargets"},
		{"request path", "more for each target of the place's service", set.slope("StepTargets", "ns/op"), "ns", 0, "StepTargets"},
		{"request path", "more for each place of the service", set.slope("StepPlaces", "ns/op"), "ns", 0, "StepPlaces"},
		{"request path", "line and count of a decision, three ways not taken", set.at("Note", "ns/op", 3) / 1e3, "us", 0, "Note"},
		{"request path", "memory of a key's record", set.at("Record", "B/record", 60_000), "B", 0, "Record"},
		{"request path", "a tick of the node", set.at("TickServices", "ns/op", s.Services) / 1e3, "us", 0, "TickServices"},
	}
}

func ownership(set *measureSet, s Size) []Row {
	return []Row{
		{"target owner", "targets that a node owns", s.ownedTargets(), "", 0, ""},
		{"target owner", "a new roster taken in", set.at("RosterTargets", "ns/op", s.Services*s.Targets) / 1e3, "us", 0, "RosterTargets"},
		{"target owner", "the roster's document", set.at("RosterSize", "bytes", s.instancesPerPlace()), "B", 0, "RosterSize"},
		{"grants", "told to the place's peers at rest, with membership", set.at("Rooms", "udp-B/s", s.Services), "B/s", 0, "Rooms"},
		{"grants", "more for each service at rest", set.slope("Rooms", "udp-B/s"), "B/s", 0, "Rooms"},
	}
}

func membership(set *measureSet, s Size) []Row {
	sent := set.at("World", "B/s", s.Instances)
	return []Row{
		{"membership", "sent by a node", sent, "B/s", budgetBytes, "World"},
		{"membership", "more for each instance of the world", set.slope("World", "B/s"), "B/s", 0, "World"},
		{"membership", "sent by a node of 99 over loopback, 8 to 13 s after their start", set.at("Fleet", "udp-B/s", 99), "B/s", budgetBytes, "Fleet"},
		{"membership", "members that a node holds", set.at("Held", "members", s.Instances), "", 0, "Held"},
		{"membership", "one round", set.at("MemberTick", "ns/op", s.Instances) / 1e3, "us", 0, "MemberTick"},
		{"membership", "one packet taken in", set.at("Receive", "ns/op", s.Instances) / 1e3, "us", 0, "Receive"},
	}
}

func configuration(set *measureSet, s Size) []Row {
	service := set.at("AdvanceServices", "ns/op", s.Documents)
	blocks := set.at("AdvanceBlocks", "ns/op", s.Prefixes) + set.at("Update", "ns/op", s.Prefixes)
	return []Row{
		{"configuration", "a changed service put in force", service / 1e6, "ms", 0, "AdvanceServices"},
		{"configuration", "a changed document of 1,000 blocks put in force", blocks / 1e6, "ms", 0, "AdvanceBlocks, Update"},
		{"configuration", "of a core, were all changes of blocks", 100 * s.changesPerSecond() * blocks / 1e9, "%", 100 * budgetCore, "AdvanceBlocks, Update"},
		{"configuration", "sent by a node, documents of 4 kB", configBytesPerSecond(s), "B/s", budgetBytes, ""},
		{"configuration", "in force in all of 99 instances", set.at("Fleet", "spread-s", 99), "s", 10, "Fleet"},
		{"configuration", "the same with half of the messages lost", set.at("Fleet", "lossy-s", 99), "s", 10, "Fleet"},
		{"configuration", "memory of the documents' text", set.at("BlockMemory", "text-bytes", s.Prefixes) / 1e6, "MB", 0, "BlockMemory"},
		{"configuration", "memory of the parsed blocks", set.at("BlockMemory", "parsed-bytes", s.Prefixes) / 1e6, "MB", 0, "BlockMemory"},
	}
}

func configBytesPerSecond(s Size) float64 {
	return s.changesPerSecond() * (pushFanout*s.BodyBytes + digestBytes)
}

func health(set *measureSet, s Size) []Row {
	return []Row{
		{"health", "probes of a node's own targets while they are idle, both ways", set.slope("Probe", "tcp-B/s") * s.ownedTargets(), "B/s", budgetBytes, "Probe"},
		{"health", "more for each target", set.slope("Probe", "tcp-B/s"), "B/s", 0, "Probe"},
		{"health", "processor time for each target", set.slope("Probe", "cpu-us/s"), "us/s", 0, "Probe"},
	}
}

// steadyWritesPerSecond returns the rate of writes to the platform while nothing
// changes.
func steadyWritesPerSecond(s Size) float64 { return s.Instances / registerEvery }

// steadyReadsPerSecond returns the rate of reads from the platform in steady state,
// with the usual changes of documents.
func steadyReadsPerSecond(s Size) float64 {
	watches := watchersPerDomain * s.Domains
	return s.Instances/rosterEvery + s.Instances/listEvery + s.Domains/domainListEvery + watches/watchEvery + watches*s.changesPerSecond()
}

func platform(set *measureSet, s Size) []Row {
	restart := func(unit string) float64 {
		return set.at("Restart", unit, s.instancesPerDomain()) / set.at("Restart", "whole-s", s.instancesPerDomain())
	}
	return []Row{
		{"platform", "writes in steady state", steadyWritesPerSecond(s), "/s", budgetWrites, ""},
		{"platform", "reads in steady state", steadyReadsPerSecond(s), "/s", budgetReads, ""},
		{"platform", "waiting watches", watchersPerDomain * s.Domains, "", 0, ""},
		{"platform", "writes of 150 replacements, mean of a day", 150 * set.at("Restart", "writes", 9) / 9 / 86400, "/s", budgetWrites, "Restart"},
		{"platform", "writes after an outage, until all are listed", s.Instances / registerEvery, "/s", budgetWrites, ""},
		{"platform", "writes while a domain returns, steady ones included", restart("writes") + steadyWritesPerSecond(s), "/s", budgetWrites, "Restart"},
		{"platform", "reads while a domain returns, steady ones included", restart("reads") + steadyReadsPerSecond(s), "/s", budgetReads, "Restart"},
		{"platform", "until every instance of the domain has its part", set.at("Restart", "whole-s", s.instancesPerDomain()), "s", 0, "Restart"},
	}
}

// node adds up the cost of control traffic and state on one node.
func node(set *measureSet, s Size) []Row {
	sent := set.at("World", "B/s", s.Instances) + set.at("Rooms", "udp-B/s", s.Services) - set.at("Domain", "B/s", 10)
	probes := set.slope("Probe", "tcp-B/s") * s.ownedTargets()
	list := s.Instances * listEntryBytes / listEvery
	blocks := set.at("BlockMemory", "text-bytes", s.Prefixes) + set.at("BlockMemory", "parsed-bytes", s.Prefixes) + set.tableBytes(s)
	return []Row{
		{"node", "control bytes: membership, rooms at rest, configuration, list", sent + configBytesPerSecond(s) + list, "B/s", budgetBytes, "World, Rooms, Domain"},
		{"node", "the same with probes of idle targets", sent + configBytesPerSecond(s) + list + probes, "B/s", budgetBytes, "and Probe"},
		{"node", "more at 21 nodes, one watcher of each domain, for the list", s.Instances * listEntryBytes / domainListEvery, "B/s", budgetBytes, ""},
		{"node", "of a core, measured in a fleet of 99", set.at("Fleet", "cpu-us/s", 99) / 1e4, "%", 100 * budgetCore, "Fleet"},
		{"node", "of a core, process of its own, 13 targets", set.at("Probe", "cpu-us/s", s.ownedTargets()) / 1e4, "%", 100 * budgetCore, "Probe"},
		{"node", "memory of blocks that lives", blocks / 1e6, "MB", budgetMemory / 1e6, "BlockMemory, Build"},
		{"node", "the same as the collector holds it", gcOverhead * blocks / 1e6, "MB", budgetMemory / 1e6, "BlockMemory"},
	}
}

// Verdict compares the figure with its budget; it is "" without one.
func (r Row) Verdict() string {
	switch {
	case r.Budget == 0:
		return ""
	case r.Value > r.Budget:
		return fmt.Sprintf("**misses by %.1f**", r.Value/r.Budget)
	}
	return fmt.Sprintf("%.0f %% of %s", 100*r.Value/r.Budget, formatNumber(r.Budget))
}

func formatNumber(v float64) string {
	switch {
	case v == 0:
		return "0"
	case v >= 100 || v <= -100:
		return fmt.Sprintf("%.0f", v)
	case v >= 1 || v <= -1:
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.2g", v)
}

// Figures renders the rows as a Markdown table.
func Figures(rows []Row) string {
	var b strings.Builder
	b.WriteString("| role | figure | at the target | budget | benchmarks |\n|---|---|---|---|---|\n")
	for _, r := range rows {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", r.Role, r.Figure, strings.TrimSpace(formatNumber(r.Value)+" "+r.Unit), r.Verdict(), r.Benchmarks)
	}
	return b.String()
}

// Slopes renders the measures as a Markdown table.
func Slopes(measures []Measure) string {
	var b strings.Builder
	b.WriteString("| benchmark | unit | sizes | medians | fixed | slope | slopes of single runs |\n|---|---|---|---|---|---|---|\n")
	for _, m := range measures {
		var sizes, medians []string
		for _, p := range m.Points {
			sizes = append(sizes, fmt.Sprint(p.Size))
			medians = append(medians, formatNumber(p.Median()))
		}
		l := m.Fit()
		low, high := m.Slopes()
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s to %s |\n", m.Name, m.Unit,
			strings.Join(sizes, ", "), strings.Join(medians, ", "), formatNumber(l.Fixed), formatNumber(l.Slope), formatNumber(low), formatNumber(high))
	}
	return b.String()
}
