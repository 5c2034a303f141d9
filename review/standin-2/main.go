//go:build review

// Command standin-2 plays the cases of the second review: it starts processes of firlever as the deploy
// file says, with stand-ins of the platform's store, upstreams and clients on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

var (
	began     = time.Now()
	recordMu  sync.Mutex
	recording *os.File
	current   *deployment
)

// note writes a line to the record.
func note(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(recording, "%8.3f  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}

// unable ends the program because the case could not run.
func unable(format string, args ...any) {
	note("could not run: "+format, args...)
	fmt.Printf("could not run: "+format+"\n", args...)
	if current != nil {
		current.end()
	}
	os.Exit(couldNot)
}

// cases are the cases by name. Each returns whether the rule was broken, and a sentence on what was seen.
var cases = map[string]func(trouble bool) (bool, string){
	"slow-upload":    slowUpload,
	"dead-in-lookup": deadInLookup,
	"changed-upload": changedUpload,
	"quota-holders":  quotaHolders,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(couldNot)
	}
	var err error
	if recording, err = os.Create(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() { unable("ended by %v", <-signals) }()
	note("case %s, trouble %t", os.Args[1], trouble)
	ruleBroken, seen := cases[os.Args[1]](trouble)
	current.end()
	note("%s", seen)
	fmt.Println(seen)
	if ruleBroken {
		os.Exit(broken)
	}
	os.Exit(held)
}
