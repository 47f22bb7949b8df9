//go:build review

// Command cases runs the scripted cases of the review against the programs of the deploy file.
//
// Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 a case leaves out the
// disruption.
package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

var cases = map[string]func(f *fleet, trouble bool) (broken string){
	"foreign-heartbeat": foreignHeartbeat,
	"long-answer":       longAnswer,
	"frozen-control":    frozenControl,
	"long-refusal":      longRefusal,
	"lost-leave":        lostLeave,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD")
		os.Exit(2)
	}
	runtime.LockOSThread() // the processes end with the thread that starts them
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(run func(*fleet, bool) string, file string, trouble bool) (status int) {
	w, err := os.Create(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = w.Close() }()
	r := &record{w: w, started: time.Now()}
	var f *fleet
	defer func() {
		if f != nil {
			f.close()
		}
		if p := recover(); p != nil {
			reason, ok := p.(couldNotRun)
			if !ok {
				panic(p)
			}
			r.add("the case could not run: %s", reason.reason)
			fmt.Println("could not run:", reason.reason)
			status = 2
		}
	}()
	f = newFleet(r)
	if broken := run(f, trouble); broken != "" {
		r.add("BROKEN: %s", broken)
		fmt.Println("BROKEN:", broken)
		return 1
	}
	r.add("the rule held")
	fmt.Println("the rule held")
	return 0
}
