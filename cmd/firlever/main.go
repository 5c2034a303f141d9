// Command firlever runs an instance, and is the command-line tool for operators.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	root := newRoot()
	root.SetArgs(os.Args[1:])
	err := root.ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "firlever: "+formatError(err))
	}
	os.Exit(exitCode(err))
}
