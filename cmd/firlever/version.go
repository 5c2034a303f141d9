package main

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

const versionHelp = `Print the version of this program and of the Go toolchain that built it.`

func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of this program",
		Long:  versionHelp,
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			version, goVersion := buildInfo()
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "firlever %s, %s\n", version, goVersion)
			return err
		},
	}
}

func buildInfo() (version, goVersion string) {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown", "unknown"
	}
	version = info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && version == "(devel)" {
			version = s.Value
		}
	}
	return version, info.GoVersion
}
