package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

const envPrefix = "FIRLEVER_"

// envName returns the name of the environment variable that sets a flag.
func envName(flag string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// bindEnv sets each flag that is absent from the command line from its environment variable, if
// that is set. Its error lists all variables with invalid values.
func bindEnv(cmd *cobra.Command) error {
	var invalid []string
	cmd.Flags().VisitAll(func(f *pflag.Flag) {
		value, ok := os.LookupEnv(envName(f.Name))
		if f.Changed || !ok || f.Name == "help" {
			return
		}
		if err := cmd.Flags().Set(f.Name, value); err != nil {
			invalid = append(invalid, fmt.Sprintf("%s=%q: %v", envName(f.Name), value, err))
		}
	})
	if invalid != nil {
		return &usageError{Command: cmd.CommandPath(), Reason: strings.Join(invalid, "; ")}
	}
	return nil
}
