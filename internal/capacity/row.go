package capacity

import (
	"fmt"
	"strings"
)

// Row is one figure of the page.
type Row struct {
	Role   string
	What   string
	Value  float64
	Unit   string
	Budget float64 // 0 without one
	From   string  // the benchmarks it is worked out from
}

// MissingError says that a benchmark has not been recorded.
type MissingError struct{ Name, Unit string }

func (e *MissingError) Error() string {
	return "capacity: no record of BenchmarkCapacity" + e.Name + " in " + e.Unit
}

// book finds measures and keeps the first that is missing.
type book struct {
	all []Measure
	err error
}

func (b *book) find(name, unit string) Measure {
	for _, m := range b.all {
		if m.Name == name && m.Unit == unit {
			return m
		}
	}
	if b.err == nil {
		b.err = &MissingError{Name: name, Unit: unit}
	}
	return Measure{Points: []Point{{Runs: []float64{0}}}}
}

func (b *book) slope(name, unit string) float64 { return b.find(name, unit).Fit().Slope }

// at is the cost at a size: the median if the size was measured, else by the line.
func (b *book) at(name, unit string, size float64) float64 {
	m := b.find(name, unit)
	for _, p := range m.Points {
		if p.Size == size {
			return p.Median()
		}
	}
	return m.Fit().At(size)
}

// table is the memory of the table of blocks, in bytes.
func (b *book) table(s Size) float64 { return s.Prefixes * b.at("Build", "bytes/prefix", s.Prefixes) }

// Rows works every figure of the page out. The error is a *MissingError.
func Rows(measures []Measure, s Size) ([]Row, error) {
	b := &book{all: measures}
	var rows []Row
	for _, part := range []func(*book, Size) []Row{
		lookup, request, ownership, membership, configuration, health, platform, node,
	} {
		rows = append(rows, part(b, s)...)
	}
	return rows, b.err
}

func lookup(b *book, s Size) []Row {
	perNode := s.Lookups / s.Instances
	handler := b.at("Handler", "ns/op", s.ofPlace())
	http := b.at("HTTPLookup", "ns/op", s.ofPlace())
	return []Row{
		{"look-up", "in the core, service of 23 places", b.at("CoreLookupPlaces", "ns/op", 23) / 1e3, "us", 0, "CoreLookupPlaces"},
		{"look-up", "whole handler, without sockets", handler / 1e3, "us", 0, "Handler"},
		{"look-up", "over HTTP on loopback, client included", http / 1e3, "us", 0, "HTTPLookup"},
		{"look-up", "a node's share", perNode, "/s", 0, ""},
		{"look-up", "of a core for it, client's part included", 100 * perNode * http / 1e9, "%", 0, "HTTPLookup"},
		{"look-up", "prefix found in the table", b.at("Lookup", "ns/op", s.Prefixes), "ns", 0, "Lookup"},
		{"look-up", "memory of the table", b.table(s) / 1e6, "MB", 0, "Build"},
	}
}

func request(b *book, s Size) []Row {
	return []Row{
		{"request path", "decisions of one request in the core", b.at("StepTargets", "ns/op", s.Targets) / 1e3, "us", 0, "StepTargets"},
		{"request path", "more for each target of the place's service", b.slope("StepTargets", "ns/op"), "ns", 0, "StepTargets"},
		{"request path", "more for each place of the service", b.slope("StepPlaces", "ns/op"), "ns", 0, "StepPlaces"},
		{"request path", "line and count of a decision, three ways not taken", b.at("Note", "ns/op", 3) / 1e3, "us", 0, "Note"},
		{"request path", "memory of a key's record", b.at("Record", "B/record", 60_000), "B", 0, "Record"},
		{"request path", "a tick of the node", b.at("TickServices", "ns/op", s.Services) / 1e3, "us", 0, "TickServices"},
	}
}

func ownership(b *book, s Size) []Row {
	return []Row{
		{"target owner", "targets that a node owns", s.owned(), "", 0, ""},
		{"target owner", "a new roster taken in", b.at("RosterTargets", "ns/op", s.Services*s.Targets) / 1e3, "us", 0, "RosterTargets"},
		{"target owner", "the roster's document", b.at("RosterSize", "bytes", s.ofPlace()), "B", 0, "RosterSize"},
		{"grants", "told to the place's peers at rest, with membership", b.at("Rooms", "udp-B/s", s.Services), "B/s", 0, "Rooms"},
		{"grants", "more for each service at rest", b.slope("Rooms", "udp-B/s"), "B/s", 0, "Rooms"},
	}
}

func membership(b *book, s Size) []Row {
	world := b.at("World", "B/s", s.Instances)
	return []Row{
		{"membership", "sent by a node", world, "B/s", budgetBytes, "World"},
		{"membership", "more for each instance of the world", b.slope("World", "B/s"), "B/s", 0, "World"},
		{"membership", "sent by a node of 99 over loopback, 8 to 13 s after their start", b.at("Fleet", "udp-B/s", 99), "B/s", budgetBytes, "Fleet"},
		{"membership", "members that a node holds", b.at("Held", "members", s.Instances), "", 0, "Held"},
		{"membership", "one round", b.at("MemberTick", "ns/op", s.Instances) / 1e3, "us", 0, "MemberTick"},
		{"membership", "one packet taken in", b.at("Receive", "ns/op", s.Instances) / 1e3, "us", 0, "Receive"},
	}
}

func configuration(b *book, s Size) []Row {
	service := b.at("AdvanceServices", "ns/op", s.Documents)
	blocks := b.at("AdvanceBlocks", "ns/op", s.Prefixes) + b.at("Update", "ns/op", s.Prefixes)
	return []Row{
		{"configuration", "a changed service put in force", service / 1e6, "ms", 0, "AdvanceServices"},
		{"configuration", "a changed document of 1,000 blocks put in force", blocks / 1e6, "ms", 0, "AdvanceBlocks, Update"},
		{"configuration", "of a core, were all changes of blocks", 100 * s.changes() * blocks / 1e9, "%", 100 * budgetCore, "AdvanceBlocks, Update"},
		{"configuration", "sent by a node, documents of 4 kB", configBytes(s), "B/s", budgetBytes, ""},
		{"configuration", "in force in all of 99 instances", b.at("Fleet", "spread-s", 99), "s", 10, "Fleet"},
		{"configuration", "the same with half of the messages lost", b.at("Fleet", "lossy-s", 99), "s", 10, "Fleet"},
		{"configuration", "memory of the documents' text", b.at("BlockMemory", "text-bytes", s.Prefixes) / 1e6, "MB", 0, "BlockMemory"},
		{"configuration", "memory of the parsed blocks", b.at("BlockMemory", "parsed-bytes", s.Prefixes) / 1e6, "MB", 0, "BlockMemory"},
	}
}

func configBytes(s Size) float64 { return s.changes() * (pushes*s.Body + digest) }

func health(b *book, s Size) []Row {
	return []Row{
		{"health", "probes of a node's own targets while they are idle, both ways", b.slope("Probe", "tcp-B/s") * s.owned(), "B/s", budgetBytes, "Probe"},
		{"health", "more for each target", b.slope("Probe", "tcp-B/s"), "B/s", 0, "Probe"},
		{"health", "processor time for each target", b.slope("Probe", "cpu-us/s"), "us/s", 0, "Probe"},
	}
}

// steadyWrites and steadyReads are the platform's calls while nothing happens.
func steadyWrites(s Size) float64 { return s.Instances / registerEvery }

func steadyReads(s Size) float64 {
	waiting := watchers * s.Domains
	return s.Instances/rosterEvery + s.Instances/listEvery + s.Domains/listDomain + waiting/watchEvery + waiting*s.changes()
}

func platform(b *book, s Size) []Row {
	restart := func(unit string) float64 {
		return b.at("Restart", unit, s.ofDomain()) / b.at("Restart", "whole-s", s.ofDomain())
	}
	return []Row{
		{"platform", "writes in steady state", steadyWrites(s), "/s", budgetWrites, ""},
		{"platform", "reads in steady state", steadyReads(s), "/s", budgetReads, ""},
		{"platform", "waiting watches", watchers * s.Domains, "", 0, ""},
		{"platform", "writes of 150 replacements, mean of a day", 150 * b.at("Restart", "writes", 9) / 9 / 86400, "/s", budgetWrites, "Restart"},
		{"platform", "writes after an outage, until all are listed", s.Instances / registerEvery, "/s", budgetWrites, ""},
		{"platform", "writes while a domain returns, steady ones included", restart("writes") + steadyWrites(s), "/s", budgetWrites, "Restart"},
		{"platform", "reads while a domain returns, steady ones included", restart("reads") + steadyReads(s), "/s", budgetReads, "Restart"},
		{"platform", "until every instance of the domain has its part", b.at("Restart", "whole-s", s.ofDomain()), "s", 0, "Restart"},
	}
}

// node adds up what one node spends on control.
func node(b *book, s Size) []Row {
	sent := b.at("World", "B/s", s.Instances) + b.at("Rooms", "udp-B/s", s.Services) - b.at("Domain", "B/s", 10)
	probes := b.slope("Probe", "tcp-B/s") * s.owned()
	list := s.Instances * listLine / listEvery
	blocks := b.at("BlockMemory", "text-bytes", s.Prefixes) + b.at("BlockMemory", "parsed-bytes", s.Prefixes) + b.table(s)
	return []Row{
		{"node", "control bytes: membership, rooms at rest, configuration, list", sent + configBytes(s) + list, "B/s", budgetBytes, "World, Rooms, Domain"},
		{"node", "the same with probes of idle targets", sent + configBytes(s) + list + probes, "B/s", budgetBytes, "and Probe"},
		{"node", "more at 21 nodes, one watcher of each domain, for the list", s.Instances * listLine / listDomain, "B/s", budgetBytes, ""},
		{"node", "of a core, measured in a fleet of 99", b.at("Fleet", "cpu-us/s", 99) / 1e4, "%", 100 * budgetCore, "Fleet"},
		{"node", "of a core, process of its own, 13 targets", b.at("Probe", "cpu-us/s", s.owned()) / 1e4, "%", 100 * budgetCore, "Probe"},
		{"node", "memory of blocks that lives", blocks / 1e6, "MB", budgetMemory / 1e6, "BlockMemory, Build"},
		{"node", "the same as the collector holds it", collector * blocks / 1e6, "MB", budgetMemory / 1e6, "BlockMemory"},
	}
}

// Verdict says how a figure stands to its budget.
func (r Row) Verdict() string {
	switch {
	case r.Budget == 0:
		return ""
	case r.Value > r.Budget:
		return fmt.Sprintf("**misses by %.1f**", r.Value/r.Budget)
	}
	return fmt.Sprintf("%.0f %% of %s", 100*r.Value/r.Budget, number(r.Budget))
}

func number(v float64) string {
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

// Figures renders the rows as a table.
func Figures(rows []Row) string {
	var b strings.Builder
	b.WriteString("| role | figure | at the target | budget | benchmarks |\n|---|---|---|---|---|\n")
	for _, r := range rows {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", r.Role, r.What, strings.TrimSpace(number(r.Value)+" "+r.Unit), r.Verdict(), r.From)
	}
	return b.String()
}

// Slopes renders the measures as a table.
func Slopes(measures []Measure) string {
	var b strings.Builder
	b.WriteString("| benchmark | unit | sizes | medians | fixed | slope | slopes of single runs |\n|---|---|---|---|---|---|---|\n")
	for _, m := range measures {
		var sizes, medians []string
		for _, p := range m.Points {
			sizes = append(sizes, fmt.Sprint(p.Size))
			medians = append(medians, number(p.Median()))
		}
		l := m.Fit()
		low, high := m.Slopes()
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s to %s |\n", m.Name, m.Unit,
			strings.Join(sizes, ", "), strings.Join(medians, ", "), number(l.Fixed), number(l.Slope), number(low), number(high))
	}
	return b.String()
}
