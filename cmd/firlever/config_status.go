package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/firlever/firlever/internal/operator"
	"github.com/firlever/firlever/pkg/settings"
)

const configStatusHelp = `Show which version of each given document is in force at each instance, and a
hash over the versions of all documents: instances with the same hash have the
same documents in force.`

func newConfigStatusCommand() *cobra.Command {
	var conn connection
	var asJSON bool
	cmd := &cobra.Command{
		Use:     "status [PATH...]",
		Short:   "Show which version each instance has in force",
		Long:    configStatusHelp,
		Example: "  firlever config status /places/hob-a",
		RunE: func(cmd *cobra.Command, args []string) error {
			for _, path := range args {
				if _, err := settings.ParsePath(path); err != nil {
					return err
				}
			}
			return conn.withClient(cmd, func(ctx context.Context, client *operator.Client) error {
				reports, err := client.Fleet(ctx, args)
				if err != nil {
					return err
				}
				if asJSON {
					return writeJSON(cmd.OutOrStdout(), operator.Fleet{Reports: reports})
				}
				return writeConfigStatus(cmd.OutOrStdout(), reports, args)
			})
		},
	}
	conn.addFlags(cmd)
	addJSONFlag(cmd, &asJSON)
	return cmd
}

func writeConfigStatus(w io.Writer, reports []operator.Report, paths []string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "instance\tplace\tall\tcount")
	for _, p := range paths {
		fmt.Fprintf(t, "\t%s", p)
	}
	fmt.Fprintln(t)
	for _, r := range reports {
		if r.Status == nil {
			fmt.Fprintf(t, "%s\t\t%s\n", r.Instance, r.Error)
			continue
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d", r.Instance, r.Status.Place, r.Status.DocumentsHash, r.Status.DocumentCount)
		for _, p := range paths {
			fmt.Fprintf(t, "\t%s", versionAt(r.Status.Documents, p))
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}

func versionAt(list []operator.Version, path string) string {
	for _, v := range list {
		switch {
		case v.Path != path:
		case v.Deleted:
			return fmt.Sprintf("%d (deleted)", v.Version)
		default:
			return fmt.Sprint(v.Version)
		}
	}
	return "-"
}
