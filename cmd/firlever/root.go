package main

import (
	"fmt"

	"github.com/spf13/cobra"
)

const rootHelp = `firlever steers traffic to services that must stay cheap at rest.

Every flag can be set by an environment variable: FIRLEVER_ADDRESS for --address,
with _ for each -. A flag overrides its variable, which overrides the default.

Exit codes:
  0  done
  1  failed
  2  invalid: a flag, an argument or a document, or the token lacks permission
  3  conflict: the document has a newer version, which is printed
  4  unknown: a change may have been made; check again
  5  unreachable: no answer from an instance, or from the platform behind it`

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
		// A subcommand must not set PersistentPreRunE: cobra would run that instead of this one.
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

// rejectUnknownCommand returns a *usageError if there are arguments, as the first is not the name
// of a subcommand.
func rejectUnknownCommand(cmd *cobra.Command, args []string) error {
	if len(args) > 0 {
		return &usageError{Command: cmd.CommandPath(), Reason: "there is no command " + args[0]}
	}
	return nil
}

// newGroupCommand returns a command that only groups subcommands; without one it prints its help.
func newGroupCommand(use, short, long string, commands ...*cobra.Command) *cobra.Command {
	cmd := &cobra.Command{
		Use: use, Short: short, Long: long, Args: rejectUnknownCommand,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(commands...)
	return cmd
}

// exactArgs rejects any number of arguments but n with a *usageError.
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
