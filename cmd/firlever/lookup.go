package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/firlever/firlever/pkg/caller"
	"github.com/firlever/firlever/pkg/settings"
)

const lookupHelp = `Look up, as a caller does, which instances to use for a service, in the order in
which to try them. The home place is the one that this machine's address belongs
to.`

const lookupExample = `  firlever lookup payments/ledger-view --entries 127.0.0.1:7000,127.0.0.2:7000`

func newLookupCommand() *cobra.Command {
	var entries []string
	var timeout time.Duration
	var asJSON bool
	cmd := &cobra.Command{
		Use:     "lookup TEAM/SERVICE",
		Short:   "Look up which instances to use for a service",
		Long:    lookupHelp,
		Example: lookupExample,
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), timeout)
			defer cancel()
			answer, err := lookup(ctx, entries, args[0])
			if err != nil {
				return err
			}
			if asJSON {
				return writeJSON(cmd.OutOrStdout(), lookupAnswer(answer))
			}
			return writeLookup(cmd.OutOrStdout(), answer)
		},
	}
	addEntriesFlag(cmd, &entries)
	cmd.Flags().DurationVar(&timeout, "timeout", 5*time.Second, "how long to wait for the answer")
	addJSONFlag(cmd, &asJSON)
	return cmd
}

func addEntriesFlag(cmd *cobra.Command, dest *[]string) {
	cmd.Flags().StringSliceVar(dest, "entries", []string{"127.0.0.1:7000"}, "callers' addresses of the instances to ask first, IP:port")
}

func lookup(ctx context.Context, entries []string, service string) (caller.Answer, error) {
	if _, err := settings.ParseServiceID(service); err != nil {
		return caller.Answer{}, err
	}
	client, err := caller.New(caller.Config{Entries: entries})
	if err != nil {
		return caller.Answer{}, err
	}
	defer client.Close()
	return client.Lookup(ctx, service)
}

// lookupAnswer is the JSON form of a caller.Answer.
type lookupAnswer struct {
	Service   string            `json:"service"`
	Place     string            `json:"place"`
	Until     time.Time         `json:"until"`
	Instances []caller.Instance `json:"instances"`
	Stale     bool              `json:"stale"`
}

func writeLookup(w io.Writer, a caller.Answer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "instance\tplace\taddress")
	for _, inst := range a.Instances {
		fmt.Fprintf(t, "%s\t%s\t%s\n", inst.ID, inst.Place, inst.Address)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "home place %s, may be cached until %s\n", a.Place, a.Until.Format(time.RFC3339))
	return err
}
