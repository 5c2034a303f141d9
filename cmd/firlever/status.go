package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/firlever/firlever/internal/operator"
)

const statusHelp = `Show all instances, and how much of the limits of each place is in use: requests
in flight, queued requests, free slots and headroom. --targets adds each target
with the state that its owner reports. Active drains come last, with the number
of requests still in flight there.

You see the services and targets of the team of your token; a token of the team
"system" shows all.`

func newStatusCommand() *cobra.Command {
	var conn connection
	var asJSON, targets bool
	cmd := &cobra.Command{
		Use:     "status",
		Short:   "Show instances, places, targets and drains",
		Long:    statusHelp,
		Example: "  firlever status --targets\n  firlever status --json",
		Args:    exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return conn.withClient(cmd, func(ctx context.Context, client *operator.Client) error {
				reports, err := client.Fleet(ctx, nil)
				if err != nil {
					return err
				}
				if asJSON {
					return writeJSON(cmd.OutOrStdout(), operator.Fleet{Reports: reports})
				}
				return writeStatus(cmd.OutOrStdout(), reports, targets)
			})
		},
	}
	conn.addFlags(cmd)
	addJSONFlag(cmd, &asJSON)
	cmd.Flags().BoolVar(&targets, "targets", false, "show targets too")
	return cmd
}

func writeStatus(w io.Writer, reports []operator.Report, targets bool) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeInstances(t, reports)
	writeLoads(t, reports)
	if targets {
		writeTargets(t, reports)
	}
	writeDrains(t, reports)
	return t.Flush()
}

func writeInstances(w io.Writer, reports []operator.Report) {
	fmt.Fprintln(w, "instance\tplace\tstate\taddress")
	for _, r := range reports {
		if r.Status == nil {
			fmt.Fprintf(w, "%s\t\tnot reachable\t%s\n", r.Instance, r.Address)
			continue
		}
		state := "ready"
		if !r.Status.Ready {
			state = "not ready: " + r.Status.Reason
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", r.Instance, r.Status.Place, state, r.Address)
	}
}

// writeLoads writes the load of each place and service as each instance reports it: an
// instance counts the requests at the targets that it owns.
func writeLoads(w io.Writer, reports []operator.Report) {
	fmt.Fprintln(w, "\nplace\tservice\tinstance\tlimit\tuse\tqueued\tfree\theadroom\tshifted/s\tcap")
	for _, r := range reports {
		if r.Status == nil {
			continue
		}
		for _, p := range r.Status.Places {
			fmt.Fprintf(w, "%s\t(all)\t%s\t%s\t\t\n", p.Name, r.Instance, loadCells(p.Load))
		}
		for _, s := range r.Status.Services {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.1f\t%d\n", s.Place, s.Service, r.Instance, loadCells(s.Load), s.Shifted, s.MaxShiftGrowth)
		}
	}
}

func loadCells(l operator.Load) string {
	return fmt.Sprintf("%d\t%d\t%d\t%d\t%d", l.Limit, l.InFlight, l.Queued, l.Free, l.Headroom)
}

// writeTargets writes each target once, with the state that its owner reports.
func writeTargets(w io.Writer, reports []operator.Report) {
	fmt.Fprintln(w, "\ntarget\tservice\tplace\taddress\towner\tallowance\tuse\thealth\tdrained")
	for _, r := range reports {
		if r.Status == nil {
			continue
		}
		for _, t := range r.Status.Targets {
			if t.Owner != r.Instance {
				continue
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\t%v\n",
				t.Name, t.Service, t.Place, t.Address, t.Owner, t.Allowance, t.InFlight, t.Health, t.Drained)
		}
	}
}

// writeDrains writes each drain once, with the number of requests in flight at all instances.
func writeDrains(w io.Writer, reports []operator.Report) {
	drains := mergeDrains(reports)
	if len(drains) == 0 {
		return
	}
	fmt.Fprintln(w, "\ndrain\tof\tleft\tfinish\treason")
	for _, d := range drains {
		finish := "-"
		if !d.Finish.IsZero() {
			finish = d.Finish.Format(time.TimeOnly)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", d.Path, drainSubject(d), d.Remaining, finish, d.Reason)
	}
}

// mergeDrains returns each drain once, with the sum of the requests left at all instances and the
// latest finish time.
func mergeDrains(reports []operator.Report) []operator.Drain {
	var all []operator.Drain
	index := make(map[string]int)
	for _, r := range reports {
		if r.Status == nil {
			continue
		}
		for _, d := range r.Status.Drains {
			i, ok := index[d.Path]
			if !ok {
				index[d.Path] = len(all)
				all = append(all, d)
				continue
			}
			all[i].Remaining += d.Remaining
			if d.Finish.After(all[i].Finish) {
				all[i].Finish = d.Finish
			}
		}
	}
	return all
}

func drainSubject(d operator.Drain) string {
	switch {
	case d.Instance != "":
		return "instance " + d.Instance
	case d.Target != "":
		return "target " + d.Target + " of " + d.Service
	case d.Service != "":
		return d.Service + " in " + d.Place
	}
	return "place " + d.Place
}
