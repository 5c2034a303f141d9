package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"

	"github.com/spf13/cobra"

	"github.com/firlever/firlever/internal/emulator/store"
)

const platformHelp = `Run an emulator of the platform's metadata store, for tests. It keeps all data in
memory and loses it when it stops.`

const platformExample = `  firlever platform --listen 127.0.0.1:7400 --seed 1`

func newPlatformCommand() *cobra.Command {
	cfg := store.Defaults()
	var listen string
	cmd := &cobra.Command{
		Use:     "platform",
		Short:   "Run an emulator of the platform, for tests",
		Long:    platformHelp,
		Example: platformExample,
		Args:    exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runPlatform(cmd, cfg, listen)
		},
	}
	f := cmd.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:7400", "address to listen on, IP:port")
	f.Uint64Var(&cfg.Seed, "seed", cfg.Seed, "seed of random numbers")
	f.Float64Var(&cfg.Writes, "writes", cfg.Writes, "writes/s that are accepted")
	f.Float64Var(&cfg.Reads, "reads", cfg.Reads, "reads/s that are accepted")
	f.DurationVar(&cfg.Lag, "lag", cfg.Lag, "age of the answers to stale reads")
	return cmd
}

func runPlatform(cmd *cobra.Command, cfg store.Config, listen string) error {
	emulator, err := store.NewStore(cfg)
	if err != nil {
		return &usageError{Command: cmd.CommandPath(), Reason: err.Error()}
	}
	defer emulator.Close()
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	server := emulator.Server()
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
