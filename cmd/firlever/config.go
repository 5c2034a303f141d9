package main

import (
	"context"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/firlever/firlever/internal/files"
	"github.com/firlever/firlever/internal/operator"
	"github.com/firlever/firlever/pkg/settings"
)

const configHelp = `Check, read and change the documents that configure the instances.

A change names the version that you read, so that it can't overwrite a change
that another operator made in the meantime:

  firlever config get /places/hob-a >place.yaml     # prints version 7 on stderr
  firlever config put /places/hob-a place.yaml --if-version 7`

func newConfigCommand() *cobra.Command {
	return newGroupCommand("config", "Check, read and change settings", configHelp,
		newConfigCheckCommand(),
		newConfigGetCommand(),
		newConfigPutCommand(),
		newConfigDeleteCommand(),
		newConfigListCommand(),
		newConfigStatusCommand(),
	)
}

const configCheckHelp = `Check documents offline, and list all faults.

The files of a directory are named after the documents' paths: places/hob-a.yaml
is the document /places/hob-a. All documents of a directory are checked together.
A single file is checked by itself: give the path of its document with --path,
unless the file lies in such a directory.`

func newConfigCheckCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:     "check DIR|FILE",
		Short:   "Check documents offline",
		Long:    configCheckHelp,
		Example: "  firlever config check examples/tidewright\n  firlever config check place.yaml --path /places/hob-a",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			n, err := checkDocuments(args[0], path)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%d documents, no fault\n", n)
			return err
		},
	}
	cmd.Flags().StringVar(&path, "path", "", "path of the document that a single file holds")
	return cmd
}

// checkDocuments checks the file or directory name and returns the number of documents in
// it. The path is that of the document in a single file; if it is empty, it is derived from
// the file's name.
func checkDocuments(name, path string) (int, error) {
	info, err := os.Stat(name)
	if err != nil {
		return 0, err
	}
	if !info.IsDir() {
		return 1, checkFile(name, path)
	}
	docs, err := files.LoadDir(os.DirFS(name))
	if err != nil {
		return 0, err
	}
	_, err = settings.Compile(docs)
	return len(docs), err
}

func checkFile(name, path string) error {
	if path == "" {
		path = guessPath(name)
	}
	body, err := readDocument(name, nil)
	if err != nil {
		return err
	}
	_, err = settings.Parse(settings.Document{Path: path, Version: 1, Body: body})
	return err
}

// guessPath returns the longest suffix of the file's absolute name that is a valid document
// path, or name if there is none.
func guessPath(name string) string {
	full, err := filepath.Abs(name)
	if err != nil {
		return name
	}
	parts := strings.Split(strings.TrimSuffix(filepath.ToSlash(full), ".yaml"), "/")
	for i := range parts {
		path := "/" + strings.Join(parts[i:], "/")
		if _, err := settings.ParsePath(path); err == nil {
			return path
		}
	}
	return name
}

// readDocument reads a file, or stdin for "-". It reads at most one byte more than the largest
// valid document has, which is enough for the parser to reject a larger one.
func readDocument(name string, stdin io.Reader) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(io.LimitReader(stdin, settings.MaxBody+1))
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	body, err := io.ReadAll(io.LimitReader(f, settings.MaxBody+1))
	if err != nil {
		return nil, &fs.PathError{Op: "read", Path: name, Err: err}
	}
	return body, nil
}

const configGetHelp = `Print a document; its version goes to stderr. With --here, print the document in
force at the instance, which may be older. This works while the platform is down.`

func newConfigGetCommand() *cobra.Command {
	var conn connection
	var here bool
	cmd := &cobra.Command{
		Use:     "get PATH",
		Short:   "Print a document",
		Long:    configGetHelp,
		Example: "  firlever config get /teams/payments/services/ledger-view",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := settings.ParsePath(args[0]); err != nil {
				return err
			}
			return conn.withClient(cmd, func(ctx context.Context, client *operator.Client) error {
				doc, err := client.Get(ctx, args[0], here)
				if err != nil {
					return err
				}
				fmt.Fprintf(cmd.ErrOrStderr(), "version %d\n", doc.Version)
				_, err = cmd.OutOrStdout().Write(doc.Body)
				return err
			})
		},
	}
	conn.addFlags(cmd)
	cmd.Flags().BoolVar(&here, "here", false, "read what is in force at the instance instead of what the platform holds")
	return cmd
}

const configListHelp = `List the documents that your token may read, with their versions.`

func newConfigListCommand() *cobra.Command {
	var conn connection
	var here, asJSON bool
	cmd := &cobra.Command{
		Use:     "list [PREFIX]",
		Short:   "List documents with their versions",
		Long:    configListHelp,
		Example: "  firlever config list /teams/payments/",
		Args:    rangeArgs(0, 1),
		RunE: func(cmd *cobra.Command, args []string) error {
			prefix := strings.Join(append(args, ""), "")
			return conn.withClient(cmd, func(ctx context.Context, client *operator.Client) error {
				list, err := client.List(ctx, prefix, here)
				if err != nil {
					return err
				}
				if asJSON {
					return writeJSON(cmd.OutOrStdout(), operator.DocumentList{Documents: list})
				}
				return writeVersions(cmd.OutOrStdout(), list)
			})
		},
	}
	conn.addFlags(cmd)
	cmd.Flags().BoolVar(&here, "here", false, "read what is in force at the instance instead of what the platform holds")
	addJSONFlag(cmd, &asJSON)
	return cmd
}

func writeVersions(w io.Writer, list []operator.Version) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "path\tversion\t")
	for _, v := range list {
		note := ""
		if v.Deleted {
			note = "deleted"
		}
		fmt.Fprintf(t, "%s\t%d\t%s\n", v.Path, v.Version, note)
	}
	return t.Flush()
}
