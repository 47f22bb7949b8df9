//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit statuses of a case.
const (
	held    = 0
	broken  = 1
	noTrial = 2
)

var cases = map[string]func(r *record, trouble bool) (int, error){
	"deregistration": lostDeregistration,
	"crash-at-once":  crashingRequest(0),
	"crash-later":    crashingRequest(1),
	"founding":       killedWhileFounding,
	"part":           harmfulPartInQuietHour,
	"foreign":        foreignWriter,
	"copies":         copiesOfSuspectedRequest,
	"first-start":    killedBeforeFounding,
}

// usage: harness2 CASE FOLDER, in the root of the repository. TROUBLE=0 leaves the disruption out.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness2 CASE FOLDER")
		os.Exit(noTrial)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(noTrial)
	}
	r := &record{file: file, start: time.Now()}
	status, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.printf("the case could not run: %v", err)
		status = noTrial
	}
	r.printf("exit status %d", status)
	_ = file.Close()
	os.Exit(status)
}
