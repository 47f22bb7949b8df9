package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults. Those of processes are brought about by signals, those of links by the proxy before a listener, those of
// backend servers by the stand-in itself.
const (
	Kill        Kind = "kill"          // SIGKILL; the process is started again
	Pause       Kind = "pause"         // SIGSTOP, then SIGCONT
	Stop        Kind = "stop"          // SIGTERM; the process is started again once it has ended
	Reload      Kind = "reload"        // SIGHUP
	LoseDisk    Kind = "lose disk"     // SIGKILL, and the data folder is empty at the next start
	KillControl Kind = "kill control"  // SIGKILL for all control instances at once
	Reset       Kind = "reset"         // all connections to the target are reset
	Silence     Kind = "silence"       // nothing passes to or from the target
	Deaf        Kind = "deaf"          // nothing passes to the target
	Mute        Kind = "mute"          // nothing passes from the target
	Delay       Kind = "delay"         // everything to and from the target is late
	Crash       Kind = "crash"         // a backend server ends and starts again as another one
	CrashAll    Kind = "crash all"     // all plain servers crash, so that only cold ones come back
	Freeze      Kind = "freeze"        // a backend server takes requests and does nothing
	Drain       Kind = "drain"         // a backend server leaves as announced and comes back as another one
	Damage      Kind = "damage"        // a backend server cuts answers off and adds some that nobody asked for
	LoseOrders  Kind = "lose orders"   // a rank's answers to orders are lost, and some orders are carried out late
	HoldBack    Kind = "hold announce" // a backend server's announcements do not arrive
)

// Fault is one fault of a plan.
type Fault struct {
	At     time.Duration // from the start of the faults
	For    time.Duration // 0 for faults without a duration
	Kind   Kind
	Target string // name of a process or a backend server; empty for faults of a whole role
}

// String implements fmt.Stringer.
func (f Fault) String() string {
	text := fmt.Sprintf("%.2f s: %s %s", f.At.Seconds(), f.Kind, f.Target)
	if f.For > 0 {
		text += fmt.Sprintf(" for %.2f s", f.For.Seconds())
	}
	return text
}

const (
	// faultsPerSecond is the mean rate of faults: with their mean duration of 2 s, two or three overlap.
	faultsPerSecond = 1.4
	longestFault    = 4 * time.Second
	shortestFault   = 200 * time.Millisecond
	// mostDelay bounds the delay of one direction of a link.
	mostDelay = 300 * time.Millisecond
)

// targets are the names that faults can choose from.
type targets struct {
	entries, controls, ranks, servers, engines []string
}

// kindsOf lists the faults of each role, with how often each is chosen against the others.
var (
	entryFaults   = []Kind{Kill, Pause, Stop, Reload}
	controlFaults = []Kind{Kill, Kill, Pause, Pause, Stop, Reset, Silence, Deaf, Mute, Delay, KillControl}
	rankFaults    = []Kind{Kill, Pause, Stop, Reload}
	serverFaults  = []Kind{Crash, Crash, CrashAll, Freeze, Drain, Damage, HoldBack, Reset, Silence, Deaf, Mute, Delay}
	engineFaults  = []Kind{LoseOrders, LoseOrders, Crash, Freeze, Reset, Silence, Delay}
)

// plan draws the faults of a seed. At most one disk is lost, since a deployment that tolerates one loss needs the time to
// replace it before the next.
func plan(seed uint64, length time.Duration, t targets) []Fault {
	random := rand.New(rand.NewPCG(seed, 0x50a4))
	roles := []struct {
		names []string
		kinds []Kind
	}{{t.entries, entryFaults}, {t.controls, controlFaults}, {t.ranks, rankFaults}, {t.servers, serverFaults}, {t.engines, engineFaults}}
	var faults []Fault
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / faultsPerSecond * float64(time.Second))
		if at >= length {
			break
		}
		role := roles[random.IntN(len(roles))]
		f := Fault{At: at, Kind: role.kinds[random.IntN(len(role.kinds))], Target: role.names[random.IntN(len(role.names))]}
		duration := shortestFault + time.Duration(random.Int64N(int64(longestFault-shortestFault)))
		switch f.Kind {
		case Kill, Stop, Reload, Reset, Crash, Drain:
		case KillControl, CrashAll:
			f.Target = ""
		default:
			f.For = min(duration, length-at)
		}
		faults = append(faults, f)
	}
	if random.IntN(2) == 0 {
		lost := Fault{At: time.Duration(random.Int64N(int64(length))), Kind: LoseDisk, Target: t.controls[random.IntN(len(t.controls))]}
		faults = append(faults, lost)
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}
