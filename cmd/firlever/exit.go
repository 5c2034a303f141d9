package main

import (
	"errors"
	"fmt"
	"io/fs"
	"strings"

	"github.com/firlever/firlever/internal/demo"
	"github.com/firlever/firlever/internal/files"
	"github.com/firlever/firlever/internal/load"
	"github.com/firlever/firlever/internal/operator"
	"github.com/firlever/firlever/pkg/caller"
	"github.com/firlever/firlever/pkg/settings"
)

// Exit codes; the help of the root command documents them.
const (
	exitOK = iota
	exitFailed
	exitInvalid
	exitConflict
	exitUnknown
	exitUnreachable
)

// usageError reports an invalid command line or configuration of a command.
type usageError struct {
	Command string
	Reason  string
}

func (e *usageError) Error() string {
	return fmt.Sprintf("%s: %s (see %s --help)", e.Command, e.Reason, e.Command)
}

// unknownOutcomeError reports that a change may or may not have been made.
type unknownOutcomeError struct{ operator.Change }

func (e *unknownOutcomeError) Error() string {
	return fmt.Sprintf("not yet known whether write %s to %s landed: %s", e.WriteID, e.Path, e.Reason)
}

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	var (
		problem     *operator.Problem
		unknown     *unknownOutcomeError
		unreachable *operator.UnreachableError
		lookup      *caller.LookupError
	)
	switch {
	case err == nil:
		return exitOK
	case isInvalidInput(err):
		return exitInvalid
	case errors.As(err, &unknown):
		return exitUnknown
	case errors.As(err, &unreachable):
		return exitUnreachable
	case errors.As(err, &lookup) && !lookup.Refused:
		return exitUnreachable
	case errors.As(err, &problem):
		return problemExitCode(problem.Code)
	}
	return exitFailed
}

func problemExitCode(code operator.Code) int {
	switch code {
	case operator.CodeConflict:
		return exitConflict
	case operator.CodeUnavailable, operator.CodeBusy:
		return exitUnreachable
	case operator.CodeNotFound, operator.CodeInternal, operator.CodeFormat:
		return exitFailed
	}
	return exitInvalid
}

func isInvalidInput(err error) bool {
	var (
		usage        *usageError
		faults       *settings.FaultsError
		path         *settings.PathError
		callerConfig *caller.ConfigError
		loadPlan     *load.PlanError
		documentName *files.NameError
		emptyDir     *files.EmptyError
		demoConfig   *demo.ConfigError
		filePath     *fs.PathError
	)
	return errors.As(err, &usage) || errors.As(err, &faults) || errors.As(err, &path) ||
		errors.As(err, &callerConfig) || errors.As(err, &loadPlan) || errors.As(err, &documentName) || errors.As(err, &emptyDir) || errors.As(err, &filePath) ||
		errors.As(err, &demoConfig)
}

// formatError formats an error for operators, with each fault of a document on its own line.
func formatError(err error) string {
	var faults *settings.FaultsError
	var problem *operator.Problem
	switch {
	case errors.As(err, &faults):
		return formatFaults(faults.Faults)
	case errors.As(err, &problem) && problem.Code == operator.CodeFaults:
		list := make([]settings.Fault, 0, len(problem.Faults))
		for _, f := range problem.Faults {
			list = append(list, settings.Fault(f))
		}
		return formatFaults(list)
	}
	return err.Error()
}

func formatFaults(faults []settings.Fault) string {
	lines := []string{fmt.Sprintf("%d faults", len(faults))}
	for _, f := range faults {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}
