package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/docstore"
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
platform, or from other instances while the platform is out of reach; --join
names some of those for that case. On SIGTERM it stops in plan: it leaves the
look-ups, finishes what is in flight and hands its targets over. A second
signal ends it at once.`

const serveExample = `  firlever serve --id hob-a-1 --place hob-a --region hobart \
    --callers 127.0.0.1:7100 --peers 127.0.0.1:7200 --operators 127.0.0.1:7300 \
    --platform 127.0.0.1:7400`

// serveFlags is what serve is told besides the instance's own configuration.
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
	f.StringVar(&cfg.Domain, "domain", "", "failure domain that it is in; the place if left out")
	f.StringVar(&cfg.Region, "region", "", "region that it is in")
	f.StringVar(&cfg.Callers, "callers", "127.0.0.1:7100", "address for callers, IP:port")
	f.StringVar(&cfg.Peers, "peers", "127.0.0.1:7200", "address for other instances, IP:port, TCP and UDP")
	f.StringVar(&cfg.Operators, "operators", "127.0.0.1:7300", "address for operators, IP:port")
	f.StringVar(&cfg.AdvertiseCallers, "advertise-callers", "", "address that callers are told of, IP:port; --callers if left out")
	f.StringVar(&cfg.AdvertisePeers, "advertise-peers", "", "address that other instances are told of, IP:port, TCP and UDP; --peers if left out")
	f.StringVar(&cfg.Source, "source", "", "IP that connections to targets and other instances come from")
	f.StringSliceVar(&cfg.Join, "join", nil, "peers' addresses of instances to begin with")
	f.StringVar(&cfg.Bootstrap, "bootstrap", "", "hex SHA-256 of a token that opens everything until the system team has one")
	f.DurationVar(&cfg.Linger, "linger", 6*time.Second, "longest that a planned stop goes on serving cached look-ups")
	f.BoolVar(&cfg.ListProves, "list-proves", false, "the platform's list names an instance until its process has ended for certain")
	f.StringVar(&flags.platform, "platform", "", "address of the platform's key-value service, IP:port")
	f.StringVar(&flags.policy, "policy", string(core.PolicyOwner), "how targets are chosen; others than owner are for measurements")
	f.StringVar(&flags.logLevel, "log", "info", "least level that is logged: debug, info, warn, error")
	f.DurationVar(&flags.stopTimeout, "patience", time.Minute, "longest that a planned stop waits for requests in flight")
	return cmd
}

func serve(cmd *cobra.Command, cfg instance.Config, flags serveFlags) error {
	logWriter := logs.NewWriter(cmd.ErrOrStderr())
	defer func() { logWriter.Close(time.Now().Add(logs.CloseTime)) }()
	logger, err := logs.New(logWriter, flags.logLevel)
	if err != nil {
		return &usageError{Command: cmd.CommandPath(), Reason: err.Error()}
	}
	cfg.Log = logger.With("instance", cfg.ID)
	cfg.Metrics = metrics.New()
	cfg.Load = overload.NewMeter(0)
	cfg.Checks = invariant.New(func(name invariant.Name, detail string) {
		cfg.Log.Error("invariant broken", "name", name, "detail", detail)
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

// stopServing stops in plan; another signal or the end of patience cuts it short.
func stopServing(inst *instance.Instance, signals <-chan os.Signal, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	return inst.Stop(ctx)
}

// replacedError says that a newer process runs under this instance's name.
type replacedError struct{ ID string }

func (e *replacedError) Error() string { return "a newer process runs as instance " + e.ID }
