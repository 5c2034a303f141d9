package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/firlever/firlever/internal/edge"
	"github.com/firlever/firlever/internal/logs"
	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/internal/overload"
	"github.com/firlever/firlever/platform"
)

const edgeHelp = `Run an instance on the users' platform: it answers look-ups and forwards requests
from callers to targets.

The platform's settings file, named by --settings, holds the location of the
instance, its listen addresses and the address of the store. Targets, the
configuration and the other instances are read from the store. An instance keeps
nothing on disk.

On SIGTERM the instance is removed from the look-ups, completes the requests in
flight and exits. On SIGHUP it reads the settings file again.`

const edgeExample = `  firlever edge --settings /etc/firlever/boot.yaml
  firlever edge --settings /etc/firlever/boot.yaml --check`

type edgeFlags struct {
	settings    string
	logLevel    string
	metricsPort int
	check       bool
}

func newEdgeCommand() *cobra.Command {
	var cfg edge.Config
	var flags edgeFlags
	cmd := &cobra.Command{
		Use:     "edge",
		Short:   "Run an instance on the users' platform",
		Long:    edgeHelp,
		Example: edgeExample,
		Args:    exactArgs(0),
		RunE:    func(cmd *cobra.Command, _ []string) error { return runEdge(cmd, cfg, flags) },
	}
	f := cmd.Flags()
	f.StringVar(&flags.settings, "settings", "", "settings file of the platform")
	f.StringVar(&flags.logLevel, "log", "info", "lowest level that is logged: debug, info, warn, error")
	f.BoolVar(&flags.check, "check", false, "check the settings and exit")
	f.IntVar(&flags.metricsPort, "metrics", 0, "port that serves metrics; 0 for none")
	f.IntVar(&cfg.SuccessLogRate, "log-rate", edge.DefaultSuccessLogRate, "log lines/s about successful requests")
	f.DurationVar(&cfg.LookupTTL, "ttl", edge.DefaultLookupTTL, "how long callers may cache the answer to a look-up")
	f.BoolVar(&cfg.Admission, "admission", false, "admit requests by priority while a service is short of room")
	f.Float64Var(&cfg.ByteCost, "byte-cost", 0, "cost of a byte between failure domains, in nanoseconds of latency; 0 for the default")
	return cmd
}

// checkEdge checks the settings and flags of an instance, and prints the settings that firlever
// does not use.
func checkEdge(cmd *cobra.Command, cfg edge.Config) error {
	if err := cfg.Check(); err != nil {
		return &usageError{Command: cmd.CommandPath(), Reason: err.Error()}
	}
	fmt.Fprintf(cmd.OutOrStdout(), "valid; not used: %s\n", strings.Join(cfg.Settings.UnknownFields, ", "))
	return nil
}

func runEdge(cmd *cobra.Command, cfg edge.Config, flags edgeFlags) error {
	settings, err := platform.ReadSettings(flags.settings)
	if err != nil {
		return &usageError{Command: cmd.CommandPath(), Reason: err.Error()}
	}
	cfg.Settings = settings
	cfg.Overload = overload.NewMeter(settings.Cores)
	if flags.check {
		return checkEdge(cmd, cfg)
	}
	logWriter := logs.NewWriter(cmd.OutOrStdout())
	defer func() { logWriter.Close(time.Now().Add(logs.CloseTimeout)) }()
	logger, err := logs.New(logWriter, flags.logLevel)
	if err != nil {
		return &usageError{Command: cmd.CommandPath(), Reason: err.Error()}
	}
	cfg.LimitMemory()
	cfg.Log = logger
	cfg.Metrics = metrics.New()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	node, err := edge.New(cfg)
	if err != nil {
		return &usageError{Command: cmd.CommandPath(), Reason: err.Error()}
	}
	if err := node.Start(); err != nil {
		return err
	}
	if flags.metricsPort != 0 {
		if err := node.ServeMetrics(flags.metricsPort); err != nil {
			return err
		}
	}
	logger.Info("settings read", "path", flags.settings, "unread", settings.UnknownFields)
	logger.Info("started", "instance", settings.Instance, "domain", settings.Domain, "region", settings.Region,
		"callers", settings.Callers, "peers", node.PeerAddress(), "store", settings.Store, "first", settings.FirstStart)
	go node.WatchSettings(cmd.Context(), flags.settings)
	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}
		node.Reload(flags.settings)
	}
	node.Stop()
	return nil
}
