package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/firlever/firlever/internal/operator"
	"github.com/firlever/firlever/pkg/settings"
)

const configPutHelp = `Write a document, from a file or from stdin ("-").

--if-version names the version that you read; 0 creates the document. If its
current version is another one, nothing is written, the current document is
printed, and the exit code is 3.

If an answer is lost, the program sends the change again. If it still can't
determine whether the change was made, the exit code is 4: before you try again,
read the document, or look up the write by the ID that is printed.`

func newConfigPutCommand() *cobra.Command {
	var conn connection
	var version uint64
	cmd := &cobra.Command{
		Use:     "put PATH FILE|-",
		Short:   "Write a document",
		Long:    configPutHelp,
		Example: "  firlever config put /places/hob-a place.yaml --if-version 7",
		Args:    exactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			body, err := readDocument(args[1], cmd.InOrStdin())
			if err != nil {
				return err
			}
			doc := settings.Document{Path: args[0], Version: version, Body: body}
			if _, err := settings.Parse(doc); err != nil {
				return err
			}
			return putAndPrint(cmd, &conn, doc)
		},
	}
	conn.addFlags(cmd)
	addVersionFlag(cmd, &version)
	return cmd
}

const configDeleteHelp = `Delete a document if it still has the version that you read. Version numbers go
on after a deletion: to write the document again, name the deletion's version.`

func newConfigDeleteCommand() *cobra.Command {
	var conn connection
	var version uint64
	cmd := &cobra.Command{
		Use:     "delete PATH",
		Short:   "Delete a document",
		Long:    configDeleteHelp,
		Example: "  firlever config delete /teams/payments/services/old --if-version 3",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := settings.ParsePath(args[0]); err != nil {
				return err
			}
			return putAndPrint(cmd, &conn, settings.Document{Path: args[0], Version: version, Deleted: true})
		},
	}
	conn.addFlags(cmd)
	addVersionFlag(cmd, &version)
	return cmd
}

func addVersionFlag(cmd *cobra.Command, dest *uint64) {
	cmd.Flags().Uint64Var(dest, "if-version", 0, "version that you read; 0 creates the document")
}

// putAndPrint writes a document and prints its new version, or the current document if the
// versions conflict.
func putAndPrint(cmd *cobra.Command, conn *connection, doc settings.Document) error {
	return conn.withClient(cmd, func(ctx context.Context, client *operator.Client) error {
		change, err := putWithRetry(ctx, client, doc)
		if err != nil {
			printConflict(cmd, err)
			return err
		}
		_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s is at version %d\n", change.Path, change.Version)
		return err
	})
}

// printConflict prints the current document if err is a version conflict.
func printConflict(cmd *cobra.Command, err error) {
	var p *operator.Problem
	if !errors.As(err, &p) || p.Code != operator.CodeConflict {
		return
	}
	if p.Deleted {
		fmt.Fprintf(cmd.OutOrStdout(), "# deleted at version %d\n", p.Version)
		return
	}
	fmt.Fprintf(cmd.OutOrStdout(), "# version %d\n%s", p.Version, p.Body)
}
