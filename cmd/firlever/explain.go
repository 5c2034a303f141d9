package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/firlever/firlever/internal/explain"
)

const explainHelp = `Explain one request from the log lines of instances: print its own lines, and the
changes around that time in what the instances that handled it assumed about its
targets, the configuration and the store.

Without files, lines are read from standard input. --failures lists instead the
ways in which requests failed, each with a count and the ID of one such request.
--by groups the requests that reached a target by fields of their lines, and
prints for each group the number of requests, the share that ended late, the mean
expected wait, the mean expected and the mean true time taken, and the share that was decided by a load report
less than a second old.

--rollout shows the phases that the rollouts of a service reached, and why a version
was rolled back.`

const explainExample = `  firlever explain 9c41d07be2a35f68 edge-1.log edge-2.log
  firlever explain --failures *.log
  firlever explain --rollout shop *.log
  firlever explain --by service,domain --from 2026-06-01T10:00:00Z *.log`

func newExplainCommand() *cobra.Command {
	var failures bool
	var groupBy []string
	var rollout string
	var from, until timeFlag
	cmd := &cobra.Command{
		Use:     "explain [ID] [FILE...]",
		Short:   "Explain a request from log lines",
		Long:    explainHelp,
		Example: explainExample,
		RunE: func(cmd *cobra.Command, args []string) error {
			switch {
			case failures:
				return listFailures(cmd, args)
			case rollout != "":
				return listRollout(cmd, args, rollout)
			case len(groupBy) > 0:
				return listGroups(cmd, args, groupBy, time.Time(from), time.Time(until))
			}
			if len(args) == 0 {
				return &usageError{Command: cmd.CommandPath(), Reason: "missing request ID"}
			}
			return printRequest(cmd, args[0], args[1:])
		},
	}
	cmd.Flags().BoolVar(&failures, "failures", false, "list the ways in which requests failed")
	cmd.Flags().StringVar(&rollout, "rollout", "", "show the rollouts of this service")
	cmd.Flags().StringSliceVar(&groupBy, "by", nil, "group requests by these fields; source is the file")
	cmd.Flags().Var(&from, "from", "with --by: skip lines before this time")
	cmd.Flags().Var(&until, "until", "with --by: skip lines at or after this time")
	return cmd
}

// timeFlag is the value of a flag that takes a time in the format of log lines.
type timeFlag time.Time

func (f *timeFlag) Set(text string) error {
	t, err := time.Parse(time.RFC3339Nano, text)
	*f = timeFlag(t)
	return err
}

func (f *timeFlag) String() string {
	if time.Time(*f).IsZero() {
		return ""
	}
	return time.Time(*f).Format(time.RFC3339Nano)
}

func (f *timeFlag) Type() string { return "time" }

// requestNotFoundError reports that no log line belongs to a request.
type requestNotFoundError struct{ ID string }

func (e *requestNotFoundError) Error() string { return "no log line found for request " + e.ID }

func printRequest(cmd *cobra.Command, id string, files []string) error {
	lines, err := readLogs(cmd.InOrStdin(), files)
	if err != nil {
		return err
	}
	story := explain.Timeline(lines, id)
	if story == nil {
		return &requestNotFoundError{ID: id}
	}
	for _, l := range story {
		fmt.Fprintln(cmd.OutOrStdout(), l.Source, l.Text)
	}
	return nil
}

func listFailures(cmd *cobra.Command, files []string) error {
	lines, err := readLogs(cmd.InOrStdin(), files)
	if err != nil {
		return err
	}
	for _, f := range explain.Failures(lines) {
		fmt.Fprintf(cmd.OutOrStdout(), "%6d  %-30s %s\n", f.Count, f.Ending, f.ID)
	}
	return nil
}

// noRolloutError reports that no log line is about a rollout of a service.
type noRolloutError struct{ Service string }

func (e *noRolloutError) Error() string { return "no log line found about a rollout of " + e.Service }

func listRollout(cmd *cobra.Command, files []string, service string) error {
	lines, err := readLogs(cmd.InOrStdin(), files)
	if err != nil {
		return err
	}
	steps := explain.Rollout(lines, service)
	if len(steps) == 0 {
		return &noRolloutError{Service: service}
	}
	for _, s := range steps {
		fmt.Fprintf(cmd.OutOrStdout(), "%d instances, first %s %s\n", s.Instances, s.First.Source, s.First.Text)
	}
	return nil
}

func listGroups(cmd *cobra.Command, files, fields []string, from, until time.Time) error {
	lines, err := readLogs(cmd.InOrStdin(), files)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s\trequests\tlate\twait\tback\ttook\tfresh\t\n", strings.Join(fields, "\t"))
	for _, g := range explain.Groups(explain.Between(lines, from, until), fields) {
		n := float64(g.Count)
		fmt.Fprintf(w, "%s\t%d\t%.2f\t%s\t%s\t%s\t%.2f\t\n", strings.Join(g.Values, "\t"), g.Count,
			float64(g.Late)/n, g.PredictedWait.Round(time.Millisecond), g.PredictedBack.Round(time.Millisecond), g.Took.Round(time.Millisecond), float64(g.FreshLoad)/n)
	}
	return w.Flush()
}

func readLogs(stdin io.Reader, files []string) ([]explain.Line, error) {
	if len(files) == 0 {
		return explain.Read(stdin, "stdin")
	}
	var lines []explain.Line
	for _, name := range files {
		more, err := readLog(name)
		if err != nil {
			return nil, err
		}
		lines = append(lines, more...)
	}
	return lines, nil
}

func readLog(name string) ([]explain.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return explain.Read(f, name)
}
