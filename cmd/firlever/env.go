package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

const envPrefix = "FIRLEVER_"

// envName is the variable that stands for a flag.
func envName(flag string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// bindEnv sets each flag that was not given from its variable, if there is one.
// It names every variable that can't be read at once.
func bindEnv(cmd *cobra.Command) error {
	var faults []string
	cmd.Flags().VisitAll(func(f *pflag.Flag) {
		value, ok := os.LookupEnv(envName(f.Name))
		if f.Changed || !ok || f.Name == "help" {
			return
		}
		if err := cmd.Flags().Set(f.Name, value); err != nil {
			faults = append(faults, fmt.Sprintf("%s=%q: %v", envName(f.Name), value, err))
		}
	})
	if faults != nil {
		return &usageError{Command: cmd.CommandPath(), Reason: strings.Join(faults, "; ")}
	}
	return nil
}
