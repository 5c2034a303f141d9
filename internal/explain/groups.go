package explain

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Group summarises the requests whose lines have the same values in some fields.
type Group struct {
	Values        []string      // of the fields, in the order given to Groups
	Count         int           // number of requests
	Late          int           // requests that ended because their deadline had passed
	PredictedWait time.Duration // mean predicted wait for a slot
	PredictedBack time.Duration // mean predicted time until the target's answer is back
	Took          time.Duration // mean time from reading the request to its response
	FreshLoad     int           // requests whose target reported its load less than freshLoad before
}

// freshLoad is the age below which a load report counts as fresh, as in the metrics.
const freshLoad = time.Second

// Groups groups the lines of requests that were sent to a target by fields, the
// largest group first. The field "source" stands for the source of the line.
func Groups(lines []Line, fields []string) []Group {
	byValues := make(map[string]*Group)
	for _, l := range lines {
		if l.Field("msg") != "request" || l.Field("target") == "" {
			continue
		}
		values := make([]string, len(fields))
		for i, field := range fields {
			values[i] = l.Field(field)
			if field == "source" {
				values[i] = l.Source
			}
		}
		key := strings.Join(values, "\x00")
		g, ok := byValues[key]
		if !ok {
			g = &Group{Values: values}
			byValues[key] = g
		}
		g.add(l)
	}
	list := make([]Group, 0, len(byValues))
	for _, g := range byValues {
		g.PredictedWait /= time.Duration(g.Count)
		g.PredictedBack /= time.Duration(g.Count)
		g.Took /= time.Duration(g.Count)
		list = append(list, *g)
	}
	slices.SortFunc(list, func(a, b Group) int { return cmp.Or(b.Count-a.Count, slices.Compare(a.Values, b.Values)) })
	return list
}

// add adds a request. The mean times hold sums until Groups divides them.
func (g *Group) add(l Line) {
	g.Count++
	g.PredictedWait += l.duration("wait")
	g.PredictedBack += l.duration("back")
	g.Took += l.duration("took")
	if l.Field("ending") == "late" {
		g.Late++
	}
	if age := l.duration("load-age"); age >= 0 && age < freshLoad && l.Field("load-age") != "" {
		g.FreshLoad++
	}
}

// duration parses a field as a duration; it is 0 if the field is missing or
// malformed, as in a truncated line.
func (l Line) duration(field string) time.Duration {
	d, err := time.ParseDuration(l.Field(field))
	if err != nil {
		return 0
	}
	return d
}

// Between returns the lines from a time on and before another. A zero time sets no
// bound.
func Between(lines []Line, from, until time.Time) []Line {
	return slices.DeleteFunc(slices.Clone(lines), func(l Line) bool {
		return l.Time.Before(from) || !until.IsZero() && !l.Time.Before(until)
	})
}
