//go:build review

// Command harness3 runs the scripts of the third review: each case starts the system's own programs on loopback addresses.
package main

import (
	"fmt"
	"os"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness3 CASE RECORD")
		os.Exit(failed)
	}
	cases := map[string]func(*recorder) int{"firstack": firstAck, "leaving": leaving, "replacing": replacing, "events": events, "draining": draining}
	run := cases[os.Args[1]]
	rec, err := newRecorder(os.Args[2])
	if run == nil || err != nil {
		fmt.Fprintln(os.Stderr, "unknown case, or no record:", err)
		os.Exit(failed)
	}
	status := run(rec)
	rec.printf("exit status %d", status)
	os.Exit(status)
}
