package main

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/demo"
)

const compareHelp = `Run the demo once for each policy and rate, one after another, and print one
table that compares firlever's own policy with simple baselines.

The column "over" is the largest number of requests in flight above the limit of
the service at a place. Only ratios within one table are meaningful, as machines
differ. At rates well above 1.2 the single process runs out of open files before
the deployment reaches its limit.`

const compareExample = `  firlever compare
  firlever compare --settings examples/tidewright --rates 0.5,0.8,1.2 --for 8s
  firlever compare --policies owner --faults drain,kill --rates 0.5`

// compareFlags are the flags of the compare command.
type compareFlags struct {
	settings string
	policies []string
	rates    []float64
	faults   string
	duration time.Duration
	seed     uint64
}

func newCompareCommand() *cobra.Command {
	var f compareFlags
	cmd := &cobra.Command{
		Use:     "compare",
		Short:   "Run the demo under several policies and rates, and compare",
		Long:    compareHelp,
		Example: compareExample,
		Args:    exactArgs(0),
		RunE:    func(cmd *cobra.Command, _ []string) error { return compare(cmd, f) },
	}
	flags := cmd.Flags()
	flags.StringVar(&f.settings, "settings", "examples/moreton-bay", "directory of the operators' documents")
	flags.StringSliceVar(&f.policies, "policies", []string{"owner", "two", "random"}, "policies to run")
	flags.Float64SliceVar(&f.rates, "rates", []float64{0.5, 0.8, 0.95, 1.2}, "loads, as shares of the sites' capacity")
	flags.StringVar(&f.faults, "faults", "none", "faults of each run, as for the demo command")
	flags.DurationVar(&f.duration, "for", 8*time.Second, "how long callers send requests in each run")
	flags.Uint64Var(&f.seed, "seed", 1, "seed of arrivals, service times and faults")
	return cmd
}

func compare(cmd *cobra.Command, f compareFlags) error {
	kinds, err := demo.ParseFaults(f.faults)
	if err != nil {
		return &usageError{Command: cmd.CommandPath(), Reason: err.Error()}
	}
	docs, err := demo.Load(f.settings)
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 1, ' ', 0)
	fmt.Fprintln(t, "| rate\t| policy\t| service\t| p50 ms\t| p99 ms\t| p99.9 ms\t| answers/s\t| refused\t| unknown\t| over\t| violations\t|")
	fmt.Fprintln(t, "|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|")
	for _, rate := range f.rates {
		for _, policy := range f.policies {
			cfg := demo.Config{
				Name: filepath.Base(f.settings), Documents: docs, Duration: f.duration, Rate: rate,
				Seed: f.seed, Policy: core.Policy(policy), Faults: kinds,
			}
			if err := writeRun(cmd.Context(), t, cfg); err != nil {
				return err
			}
		}
	}
	return t.Flush()
}

// writeRun runs the demo once and writes a table row for each service.
func writeRun(ctx context.Context, w io.Writer, cfg demo.Config) error {
	report, err := demo.Run(ctx, cfg)
	if err != nil {
		return err
	}
	for _, s := range report.Services {
		fmt.Fprintf(w, "| %g\t| %s\t| %s\t| %.1f\t| %.1f\t| %.1f\t| %.0f\t| %d\t| %d\t| %d\t| %d\t|\n",
			cfg.Rate, cfg.Policy, s.Name, s.P50, s.P99, s.P999, float64(s.Answered)/report.Seconds,
			s.Refused, s.Unknown, maxOverLimit(report.Places, s.Name), report.Violations)
	}
	return nil
}

// maxOverLimit returns the largest number of requests by which the service exceeded its
// limit at a place.
func maxOverLimit(places []demo.Headroom, service string) int {
	excess := 0
	for _, p := range places {
		if p.Service == service {
			excess = max(excess, p.Peak-p.Limit)
		}
	}
	return excess
}
