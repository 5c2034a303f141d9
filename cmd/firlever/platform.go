package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"github.com/firlever/firlever/internal/emulator/kv"
)

const platformHelp = `Run the stand-in of the platform's key-value service, for trials. It keeps all
in memory: when it stops, everything is gone.`

const platformExample = `  firlever platform --listen 127.0.0.1:7400 --seed 1`

func newPlatformCommand() *cobra.Command {
	cfg := kv.Defaults()
	var listen string
	var seed uint64
	cmd := &cobra.Command{
		Use:     "platform",
		Short:   "Run the stand-in of the platform, for trials",
		Long:    platformHelp,
		Example: platformExample,
		Args:    exactly(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runPlatform(cmd, cfg, listen, seed)
		},
	}
	f := cmd.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:7400", "address to listen at, IP:port")
	f.Uint64Var(&seed, "seed", 1, "seed of what happens by chance")
	f.Float64Var(&cfg.Writes, "writes", cfg.Writes, "writes/s that are taken")
	f.Float64Var(&cfg.Reads, "reads", cfg.Reads, "reads/s that are taken")
	f.DurationVar(&cfg.ShowLag, "show-lag", cfg.ShowLag, "time until a new instance is in the list")
	f.DurationVar(&cfg.GoneLag, "gone-lag", cfg.GoneLag, "time until a dead instance is out of the list")
	return cmd
}

func runPlatform(cmd *cobra.Command, cfg kv.Config, listen string, seed uint64) error {
	service, err := kv.New(cfg, rand.New(rand.NewPCG(seed, seed)))
	if err != nil {
		return &usageError{Command: cmd.CommandPath(), Reason: err.Error()}
	}
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	server := kv.NewServer(kv.NewLocal(service, time.Now))
	defer server.Close()
	fmt.Fprintf(cmd.OutOrStdout(), "platform at %s\n", ln.Addr())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ln) }()
	select {
	case <-cmd.Context().Done():
		return nil
	case err := <-done:
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	}
}
