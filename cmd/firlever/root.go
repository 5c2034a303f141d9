package main

import (
	"fmt"

	"github.com/spf13/cobra"
)

const rootHelp = `firlever steers traffic to services that must stay cheap at rest.

Every flag can be given as a variable: FIRLEVER_ADDRESS for --address, with _
for each -. A flag goes before its variable, and that before the default.

Exit codes:
  0  done
  1  failed
  2  invalid: a flag, an argument, a document, or what a token may not do
  3  conflict: the document has a newer version, which is printed
  4  not yet known: a change may have landed; ask again
  5  not reachable: no instance, or no platform behind it, has answered`

const rootExample = `  firlever config check examples/tidewright
  firlever status --address 127.0.0.1:7300 --token "$TOKEN"
  firlever drain place hob-a --reason "new switches"`

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "firlever",
		Short:         "Global traffic steering",
		Long:          rootHelp,
		Example:       rootExample,
		Args:          rejectUnknownCommand,
		RunE:          func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
		SilenceErrors: true,
		SilenceUsage:  true,
		// A subcommand must not have a PersistentPreRunE of its own.
		PersistentPreRunE: func(cmd *cobra.Command, _ []string) error { return bindEnv(cmd) },
	}
	root.SetFlagErrorFunc(func(cmd *cobra.Command, err error) error {
		return &usageError{Command: cmd.CommandPath(), Reason: err.Error()}
	})
	root.CompletionOptions.HiddenDefaultCmd = true
	root.AddCommand(
		newConfigCommand(),
		newEdgeCommand(),
		newExplainCommand(),
		newDemoCommand(),
		newStatusCommand(),
		newDrainCommand(),
		newUndrainCommand(),
		newLoadCommand(),
		newLookupCommand(),
		newPlatformCommand(),
		newServeCommand(),
		newCompareCommand(),
		newVersionCommand(),
	)
	return root
}

// rejectUnknownCommand refuses a word that names no command.
func rejectUnknownCommand(cmd *cobra.Command, args []string) error {
	if len(args) > 0 {
		return &usageError{Command: cmd.CommandPath(), Reason: "there is no command " + args[0]}
	}
	return nil
}

// newGroupCommand is a command that only holds others.
func newGroupCommand(use, short, long string, commands ...*cobra.Command) *cobra.Command {
	cmd := &cobra.Command{
		Use: use, Short: short, Long: long, Args: rejectUnknownCommand,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(commands...)
	return cmd
}

// exactArgs refuses any other number of arguments.
func exactArgs(n int) cobra.PositionalArgs { return rangeArgs(n, n) }

func rangeArgs(atLeast, atMost int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) >= atLeast && len(args) <= atMost {
			return nil
		}
		reason := fmt.Sprintf("wants %d to %d arguments, got %d", atLeast, atMost, len(args))
		return &usageError{Command: cmd.CommandPath(), Reason: reason}
	}
}
