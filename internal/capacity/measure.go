// Package capacity computes the figures of docs/CAPACITY.md from results of the
// repository's benchmarks, extrapolated by size. It reads and writes no files.
package capacity

import (
	"bufio"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// Measure holds the results of one benchmark in one unit, at three sizes or more.
type Measure struct {
	Name   string  `json:"name"` // of the benchmark, without the prefix BenchmarkCapacity
	Unit   string  `json:"unit"`
	Points []Point `json:"points"` // in ascending order of size
}

// Point holds the results of a benchmark at one size.
type Point struct {
	Size float64   `json:"size"`
	Runs []float64 `json:"runs"` // results of the runs, in their order; never empty
}

// Median returns the median of the runs; of an even number, the lower of the two
// middle ones.
func (p Point) Median() float64 {
	runs := slices.Sorted(slices.Values(p.Runs))
	return runs[(len(runs)-1)/2]
}

// Line is a cost that depends linearly on a size.
type Line struct {
	Fixed float64
	Slope float64 // cost of each unit of the size
}

// At returns the cost at a size; never below zero.
func (l Line) At(size float64) float64 { return max(l.Fixed+float64(l.Slope*size), 0) }

// Fit returns the least-squares line through the medians.
func (m Measure) Fit() Line { return m.fit(Point.Median) }

// Slopes returns the lowest and the highest slope of the lines fitted to single runs.
func (m Measure) Slopes() (low, high float64) {
	runs := len(m.Points[0].Runs)
	for _, p := range m.Points {
		runs = min(runs, len(p.Runs))
	}
	for i := range runs {
		slope := m.fit(func(p Point) float64 { return p.Runs[i] }).Slope
		if i == 0 {
			low, high = slope, slope
		}
		low, high = min(low, slope), max(high, slope)
	}
	return low, high
}

// fit returns the line of least squares. The conversions forbid fused multiply-adds, with which processors
// round differently.
func (m Measure) fit(value func(Point) float64) Line {
	var n, x, y, xx, xy float64
	for _, p := range m.Points {
		cost := value(p)
		n++
		x += p.Size
		y += cost
		xx += float64(p.Size * p.Size)
		xy += float64(p.Size * cost)
	}
	slope := (float64(n*xy) - float64(x*y)) / (float64(n*xx) - float64(x*x))
	return Line{Fixed: (y - float64(slope*x)) / n, Slope: slope}
}

// benchmarkLine matches a line of go test for a capacity benchmark.
var benchmarkLine = regexp.MustCompile(`^BenchmarkCapacity(\w+)/(\d+)-\d+\s+\d+\s+(.+)$`)

// Parse reads the output of go test. Benchmarks whose cases aren't sizes, and those
// with fewer than three sizes, are left out.
func Parse(r io.Reader) ([]Measure, error) {
	found := make(map[[2]string]*Measure)
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		match := benchmarkLine.FindStringSubmatch(scanner.Text())
		if match == nil {
			continue
		}
		size, err := strconv.ParseFloat(match[2], 64)
		if err != nil {
			return nil, errors.Annotate(err, "Parse")
		}
		fields := strings.Fields(match[3])
		for i := 0; i+1 < len(fields); i += 2 {
			v, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return nil, errors.Annotate(err, "Parse")
			}
			addRun(found, match[1], fields[i+1], size, v)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Annotate(err, "Parse")
	}
	return sortedMeasures(found), nil
}

func addRun(found map[[2]string]*Measure, name, unit string, size, v float64) {
	key := [2]string{name, unit}
	if found[key] == nil {
		found[key] = &Measure{Name: name, Unit: unit}
	}
	m := found[key]
	for i := range m.Points {
		if m.Points[i].Size == size {
			m.Points[i].Runs = append(m.Points[i].Runs, v)
			return
		}
	}
	m.Points = append(m.Points, Point{Size: size, Runs: []float64{v}})
}

func sortedMeasures(found map[[2]string]*Measure) []Measure {
	var all []Measure
	for _, m := range found {
		if len(m.Points) < 3 {
			continue
		}
		slices.SortFunc(m.Points, func(a, b Point) int { return compare(a.Size, b.Size) })
		all = append(all, *m)
	}
	slices.SortFunc(all, func(a, b Measure) int {
		return strings.Compare(a.Name+" "+a.Unit, b.Name+" "+b.Unit)
	})
	return all
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
