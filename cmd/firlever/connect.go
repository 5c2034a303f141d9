package main

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/firlever/firlever/internal/operator"
)

// connection holds the flags that select an instance and the token to use there.
type connection struct {
	address string
	token   string
	timeout time.Duration
}

func (c *connection) addFlags(cmd *cobra.Command) {
	f := cmd.Flags()
	f.StringVar(&c.address, "address", "127.0.0.1:7300", "operators' address of any instance, IP:port")
	f.StringVar(&c.token, "token", "", "your token; prefer the variable FIRLEVER_TOKEN, which doesn't appear in process lists")
	f.DurationVar(&c.timeout, "timeout", 20*time.Second, "how long to wait for the answer")
}

// withClient calls f with a client of the instance and a context that ends after the timeout.
// The client is closed when f returns.
func (c *connection) withClient(cmd *cobra.Command, f func(ctx context.Context, client *operator.Client) error) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), c.timeout)
	defer cancel()
	client := operator.NewClient(c.address, c.token)
	defer client.Close()
	return f(ctx, client)
}

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func addJSONFlag(cmd *cobra.Command, dest *bool) {
	cmd.Flags().BoolVar(dest, "json", false, "print JSON instead of a table")
}
