package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/http1"
	"github.com/firlever/firlever/internal/instance"
	"github.com/firlever/firlever/internal/invariant"
	"github.com/firlever/firlever/internal/logs"
	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/internal/overload"
	"github.com/firlever/firlever/platform"
)

const serveHelp = `Run an entry instance: it answers look-ups, steers requests to targets, and
serves operators.

An instance keeps nothing on disk. It reads the operators' settings from the
platform, or from other instances while the platform is unreachable; --join names
some of them for that case. On SIGTERM it performs a planned stop: it is removed
from the look-ups, completes the requests in flight and hands its targets over.
A second signal aborts the remaining requests and ends the process.`

const serveExample = `  firlever serve --id hob-a-1 --place hob-a --region hobart \
    --callers 127.0.0.1:7100 --peers 127.0.0.1:7200 --operators 127.0.0.1:7300 \
    --platform 127.0.0.1:7400`

// serveFlags are the flags of the serve command that are not part of instance.Config.
type serveFlags struct {
	platform    string
	policy      string
	logLevel    string
	stopTimeout time.Duration
}

func newServeCommand() *cobra.Command {
	var cfg instance.Config
	var flags serveFlags
	cmd := &cobra.Command{
		Use:     "serve",
		Short:   "Run an entry instance",
		Long:    serveHelp,
		Example: serveExample,
		Args:    exactArgs(0),
		RunE:    func(cmd *cobra.Command, _ []string) error { return serve(cmd, cfg, flags) },
	}
	f := cmd.Flags()
	f.StringVar(&cfg.ID, "id", "", "name of this instance, unique among all")
	f.StringVar(&cfg.Place, "place", "", "place that this instance is in")
	f.StringVar(&cfg.Domain, "domain", "", "failure domain that it is in; default is the place")
	f.StringVar(&cfg.Region, "region", "", "region that it is in")
	f.StringVar(&cfg.Callers, "callers", "127.0.0.1:7100", "address for callers, IP:port")
	f.StringVar(&cfg.Peers, "peers", "127.0.0.1:7200", "address for other instances, IP:port, TCP and UDP")
	f.StringVar(&cfg.Operators, "operators", "127.0.0.1:7300", "address for operators, IP:port")
	f.StringVar(&cfg.AdvertiseCallers, "advertise-callers", "", "address announced to callers, IP:port; default is --callers")
	f.StringVar(&cfg.AdvertisePeers, "advertise-peers", "", "address announced to other instances, IP:port, TCP and UDP; default is --peers")
	f.StringVar(&cfg.Source, "source", "", "source IP of connections to targets and other instances")
	f.StringSliceVar(&cfg.Join, "join", nil, "peers' addresses of the instances to contact first")
	f.StringVar(&cfg.Bootstrap, "bootstrap", "", "hex SHA-256 of a token with full access until the system team has a token")
	f.DurationVar(&cfg.Linger, "linger", 6*time.Second, "longest time that a planned stop keeps serving callers with cached look-ups")
	f.BoolVar(&cfg.ListProves, "list-proves", false, "the platform's list keeps an instance until its process has certainly ended")
	f.IntVar(&cfg.MemoryMB, "memory", 0, "memory of the process in MB, which requests and connections share; 0 for that of the machine")
	f.IntVar(&cfg.Descriptors, "descriptors", 0, "descriptors of the process, which connections share; 0 for its limit")
	f.StringVar(&flags.platform, "platform", "", "address of the platform's key-value service, IP:port")
	f.StringVar(&flags.policy, "policy", string(core.PolicyOwner), "policy that chooses targets; those other than owner are for measurements")
	f.StringVar(&flags.logLevel, "log", "info", "lowest level that is logged: debug, info, warn, error")
	f.DurationVar(&flags.stopTimeout, "patience", time.Minute, "longest time that a planned stop waits for requests in flight")
	return cmd
}

func serve(cmd *cobra.Command, cfg instance.Config, flags serveFlags) error {
	logWriter := logs.NewWriter(cmd.ErrOrStderr())
	defer func() { logWriter.Close(time.Now().Add(logs.CloseTimeout)) }()
	logger, err := logs.New(logWriter, flags.logLevel)
	if err != nil {
		return &usageError{Command: cmd.CommandPath(), Reason: err.Error()}
	}
	cfg.Log = logger.With("instance", cfg.ID)
	cfg.Metrics = metrics.New()
	cfg.Overload = overload.NewMeter(0)
	cfg.Checks = invariant.New(func(name invariant.Name, detail string) {
		cfg.Log.Error("invariant violated", "name", name, "detail", detail)
	})
	cfg.Policy = core.Policy(flags.policy)
	if flags.platform != "" {
		cfg.Store = docstore.NewClient(platform.NewStore(flags.platform))
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	inst, err := instance.New(cfg)
	if err != nil {
		return &usageError{Command: cmd.CommandPath(), Reason: err.Error()}
	}
	debug.SetMemoryLimit(http1.HeapLimit(cfg.MemoryMB))
	inst.Start()
	logger.Info("serving", "instance", cfg.ID, "callers", inst.Callers(), "peers", inst.Peers(), "operators", inst.Operators())
	select {
	case <-inst.Replaced():
		inst.Kill()
		return &replacedError{ID: cfg.ID}
	case <-signals:
	}
	return stopServing(inst, signals, flags.stopTimeout)
}

// stopServing performs a planned stop; another signal or the timeout cuts it short.
func stopServing(inst *instance.Instance, signals <-chan os.Signal, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	return inst.Stop(ctx)
}

// replacedError reports that a newer process runs with the ID of this instance.
type replacedError struct{ ID string }

func (e *replacedError) Error() string { return "a newer process runs as instance " + e.ID }
