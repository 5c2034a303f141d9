package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/firlever/firlever/internal/explain"
)

const explainHelp = `Tell the story of one request from the log lines of instances: its own lines, and
what the instances that handled it came to believe around that time of its
targets, the configuration and the store.

Without files, lines are read from standard input. --failures lists the ways in
which requests failed instead, with the ID of one of each.`

const explainExample = `  firlever explain 9c41d07be2a35f68 edge-1.log edge-2.log
  firlever explain --failures *.log`

func newExplainCommand() *cobra.Command {
	var failures bool
	cmd := &cobra.Command{
		Use:     "explain [ID] [FILE...]",
		Short:   "Tell the story of a request from log lines",
		Long:    explainHelp,
		Example: explainExample,
		RunE: func(cmd *cobra.Command, args []string) error {
			if failures {
				return listFailures(cmd, args)
			}
			if len(args) == 0 {
				return &usageError{Command: cmd.CommandPath(), Reason: "wants the ID of a request"}
			}
			return tellStory(cmd, args[0], args[1:])
		},
	}
	cmd.Flags().BoolVar(&failures, "failures", false, "list the ways in which requests failed")
	return cmd
}

// noStoryError says that no line names a request.
type noStoryError struct{ ID string }

func (e *noStoryError) Error() string { return "no line names request " + e.ID }

func tellStory(cmd *cobra.Command, id string, files []string) error {
	lines, err := readLogs(cmd.InOrStdin(), files)
	if err != nil {
		return err
	}
	story := explain.Story(lines, id)
	if story == nil {
		return &noStoryError{ID: id}
	}
	for _, l := range story {
		fmt.Fprintln(cmd.OutOrStdout(), l.Source, l.Text)
	}
	return nil
}

func listFailures(cmd *cobra.Command, files []string) error {
	lines, err := readLogs(cmd.InOrStdin(), files)
	if err != nil {
		return err
	}
	for _, f := range explain.Failures(lines) {
		fmt.Fprintf(cmd.OutOrStdout(), "%6d  %-30s %s\n", f.Count, f.Ending, f.ID)
	}
	return nil
}

func readLogs(stdin io.Reader, files []string) ([]explain.Line, error) {
	if len(files) == 0 {
		return explain.Read(stdin, "stdin")
	}
	var lines []explain.Line
	for _, name := range files {
		more, err := readLog(name)
		if err != nil {
			return nil, err
		}
		lines = append(lines, more...)
	}
	return lines, nil
}

func readLog(name string) ([]explain.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return explain.Read(f, name)
}
