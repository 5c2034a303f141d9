package demo

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/juju/errors"

	"github.com/firlever/firlever/internal/load"
)

// WriteTable writes the report as tables in plain text.
func (rep *Report) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "%s, policy %s, seed %d\n\n", rep.Settings, rep.Policy, rep.Seed)
	sent := load.Report{Counts: rep.Counts, Held: rep.Held, Seconds: rep.Seconds, Services: rep.Services}
	if err := sent.WriteTable(w); err != nil {
		return errors.Annotate(err, "Report.WriteTable")
	}
	rep.writeAdded(w)
	for _, part := range []func(io.Writer){rep.writePlaces, rep.writeShifts, rep.writeInvariants} {
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(t)
		part(t)
		if err := t.Flush(); err != nil {
			return errors.Annotate(err, "Report.WriteTable")
		}
	}
	fmt.Fprintln(w)
	rep.writeEvents(w)
	_, err := fmt.Fprintf(w, "%d checks, %d violations\n", rep.Checks, rep.Violations)
	return errors.Annotate(err, "Report.WriteTable")
}

func (rep *Report) writeAdded(w io.Writer) {
	if a := rep.Added; a != nil {
		fmt.Fprintf(w, "\n%s: median %.2f ms, direct calls over the same links %.2f ms (p99 %.2f ms), added %.2f ms\n",
			a.Service, a.Through, a.Direct, a.DirectP99, a.Added)
	}
}

func (rep *Report) writePlaces(w io.Writer) {
	fmt.Fprintln(w, "place\tservice\tlimit\tpeak\tleast headroom\t")
	for _, h := range rep.Places {
		name := h.Service
		if name == "" {
			name = "all"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t\n", h.Place, name, h.Limit, h.Peak, h.Least)
	}
}

func (rep *Report) writeShifts(w io.Writer) {
	if len(rep.Shifts) == 0 {
		return
	}
	fmt.Fprintln(w, "place\tservice\tshifted\tcap\tmost growth in 1 s\t")
	for _, s := range rep.Shifts {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t\n", s.Place, s.Service, s.Total, s.Cap, s.MaxGrowth)
	}
}

func (rep *Report) writeInvariants(w io.Writer) {
	fmt.Fprintln(w, "invariant\tchecks\tviolations\t")
	for _, c := range rep.Invariants {
		fmt.Fprintf(w, "%s\t%d\t%d\t\n", c.Name, c.Checks, c.Violations)
	}
}

func (rep *Report) writeEvents(w io.Writer) {
	for _, e := range rep.Faults {
		fmt.Fprintf(w, "fault: %s %s from %s to %s %s\n", e.Kind, e.On, e.At, e.Back, e.Note)
	}
	for _, d := range rep.Drains {
		fmt.Fprintf(w, "drain of %s: %.0f ms until its last request ended, %d left, %d started late\n",
			d.Place, d.Millis, d.Left, d.Late)
	}
	for _, c := range rep.Changes {
		fmt.Fprintf(w, "change of %s: %.0f ms until in force in %d instances, %d missing %s\n",
			c.Path, c.Millis, c.Instances, c.Missing, c.Note)
	}
	for _, d := range rep.Details {
		fmt.Fprintln(w, "violation:", d)
	}
}
