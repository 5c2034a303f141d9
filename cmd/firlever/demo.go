package main

import (
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/demo"
	"github.com/firlever/firlever/internal/logs"
)

// demoFlags are the flags of the demo command.
type demoFlags struct {
	settings string
	duration time.Duration
	seed     uint64
	rate     float64
	policy   string
	faults   string
	json     bool
	verbose  bool
}

// ViolationError reports that an invariant was violated during a run.
type ViolationError struct{}

func (e *ViolationError) Error() string { return "invariant violated; see the report" }

func newDemoCommand() *cobra.Command {
	var f demoFlags
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a whole deployment in one process, under load, and report",
		Long: `Run a platform, entry instances, targets and callers in one process, over
loopback, with the latencies between the real places. Prints latency, headroom,
drain time, refusals, and the checks and violations of each invariant. The exit
code is 1 if an invariant was violated.`,
		Example: `  firlever demo
  firlever demo --settings examples/tidewright --for 30s --faults kill,drain
  firlever demo --faults all --seed 7 --json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runDemo(cmd, f) },
	}
	flags := cmd.Flags()
	flags.StringVar(&f.settings, "settings", "examples/moreton-bay", "directory of the operators' documents")
	flags.DurationVar(&f.duration, "for", 10*time.Second, "how long callers send requests")
	flags.Uint64Var(&f.seed, "seed", 1, "seed of arrivals, service times and faults")
	flags.Float64Var(&f.rate, "rate", 0.5, "load as a share of the sites' capacity")
	flags.StringVar(&f.policy, "policy", string(core.PolicyOwner), "owner, or the baselines random and two")
	flags.StringVar(&f.faults, "faults", "none", "none, all, or a list of kill, drain, stop, cut, platform, crash, suspend, notice, restore, partition, kill-all")
	flags.BoolVar(&f.json, "json", false, "print the report as one line of JSON")
	flags.BoolVar(&f.verbose, "verbose", false, "log each decision of the instances to standard error")
	return cmd
}

func runDemo(cmd *cobra.Command, f demoFlags) error {
	kinds, err := demo.ParseFaults(f.faults)
	if err != nil {
		return err
	}
	docs, err := demo.Load(f.settings)
	if err != nil {
		return err
	}
	cfg := demo.Config{
		Name: filepath.Base(f.settings), Documents: docs, Duration: f.duration, Rate: f.rate,
		Seed: f.seed, Policy: core.Policy(f.policy), Faults: kinds,
	}
	if f.verbose {
		logWriter := logs.NewWriter(os.Stderr)
		defer func() { logWriter.Close(time.Now().Add(logs.CloseTimeout)) }()
		logger, err := logs.New(logWriter, "info")
		if err != nil {
			return err
		}
		cfg.Log = logger
	}
	report, err := demo.Run(cmd.Context(), cfg)
	if err != nil {
		return err
	}
	write := report.WriteTable
	if f.json {
		write = report.WriteJSON
	}
	if err := write(cmd.OutOrStdout()); err != nil {
		return err
	}
	if report.Violations > 0 {
		return &ViolationError{}
	}
	return nil
}
