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

const edgeHelp = `Run an instance on the users' platform: it answers look-ups and carries requests
from callers to targets.

The platform's settings file says where the instance is, where it listens and
which store to use; --settings names it. Targets, the configuration and the
other instances are found in the store. An instance keeps nothing on disk.

On SIGTERM it leaves the look-ups, finishes what is in flight and ends. On SIGHUP
it reads the settings file again.`

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
	f.StringVar(&flags.logLevel, "log", "info", "least level that is logged: debug, info, warn, error")
	f.BoolVar(&flags.check, "check", false, "check the settings and end")
	f.IntVar(&flags.metricsPort, "metrics", 0, "port of the metrics; 0 serves none")
	f.IntVar(&cfg.LogRate, "log-rate", edge.DefaultLogRate, "lines/s about requests that went well")
	f.DurationVar(&cfg.TTL, "ttl", edge.DefaultTTL, "how long callers keep the answer to a look-up")
	f.Float64Var(&cfg.ByteCost, "byte-cost", 0, "nanoseconds of latency that a byte between failure domains is worth; 0 takes the default")
	return cmd
}

// checkEdge says whether an instance could start with its settings and flags.
func checkEdge(cmd *cobra.Command, cfg edge.Config) error {
	if err := cfg.Check(); err != nil {
		return &usageError{Command: cmd.CommandPath(), Reason: err.Error()}
	}
	fmt.Fprintf(cmd.OutOrStdout(), "valid; not used: %s\n", strings.Join(cfg.Settings.Unread, ", "))
	return nil
}

func runEdge(cmd *cobra.Command, cfg edge.Config, flags edgeFlags) error {
	settings, err := platform.ReadSettings(flags.settings)
	if err != nil {
		return &usageError{Command: cmd.CommandPath(), Reason: err.Error()}
	}
	cfg.Settings = settings
	cfg.Load = overload.NewMeter(settings.Cores)
	if flags.check {
		return checkEdge(cmd, cfg)
	}
	logWriter := logs.NewWriter(cmd.OutOrStdout())
	defer func() { logWriter.Close(time.Now().Add(logs.CloseTime)) }()
	logger, err := logs.New(logWriter, flags.logLevel)
	if err != nil {
		return &usageError{Command: cmd.CommandPath(), Reason: err.Error()}
	}
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
	logger.Info("settings read", "path", flags.settings, "unread", settings.Unread)
	logger.Info("started", "instance", settings.Instance, "domain", settings.Domain, "region", settings.Region,
		"callers", settings.Callers, "peers", node.Peers(), "store", settings.Store, "first", settings.FirstStart)
	go node.Watch(cmd.Context(), flags.settings)
	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}
		node.Reload(flags.settings)
	}
	node.Stop()
	return nil
}
