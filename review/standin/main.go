// Command standin plays a case of the review: it starts instances as separate processes, and plays
// the store, the upstreams and the clients itself.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit statuses of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE DIRECTORY")
		os.Exit(couldNot)
	}
	cases := map[string]func(w *world, trouble bool) (int, error){"listen": listen, "rollout": rollout, "exposure": exposure, "lapse": lapse}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(couldNot)
	}
	os.Exit(run(play, os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(play func(w *world, trouble bool) (int, error), dir string, trouble bool) int {
	r, err := newRecord(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer r.close()
	w, err := newWorld(dir, r)
	if err != nil {
		r.result("could not run: %v", err)
		return couldNot
	}
	defer w.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		w.close()
		r.close()
		os.Exit(couldNot)
	}()
	w.bounds = siteBounds
	status, err := play(w, trouble)
	if err != nil {
		r.result("could not run: %v", err)
		return couldNot
	}
	return status
}
