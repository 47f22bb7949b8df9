package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults. Signals cause those of processes, the proxy in front of a listener those of links, and the stand-in
// itself those of backend servers.
const (
	Kill              Kind = "kill"            // SIGKILL; the process is restarted
	Pause             Kind = "pause"           // SIGSTOP, then SIGCONT
	Stop              Kind = "stop"            // SIGTERM; the process is restarted once it has ended
	Reload            Kind = "reload"          // SIGHUP
	LoseDisk          Kind = "lose disk"       // SIGKILL, and the data folder is empty at the next start
	KillControl       Kind = "kill control"    // SIGKILL for all control instances at once
	Reset             Kind = "reset"           // all connections to the target are reset
	BlockBoth         Kind = "silence"         // no data reaches or leaves the target
	BlockInbound      Kind = "deaf"            // no data reaches the target
	BlockOutbound     Kind = "mute"            // no data leaves the target
	Delay             Kind = "delay"           // data to and from the target is delayed
	Crash             Kind = "crash"           // a backend server ends without notice and restarts as a new server
	CrashAll          Kind = "crash all"       // all plain servers crash, so that all of them are cold after the restart
	Freeze            Kind = "freeze"          // a backend server accepts requests and does not work on them
	Drain             Kind = "drain"           // a backend server announces that it drains, ends, and restarts as a new server
	DamageAnswers     Kind = "damage"          // a backend server truncates answers, sends extra ones without a request and heads without end
	LoseOrders        Kind = "lose orders"     // a rank's answers to orders are lost, and some orders are executed late
	Leave             Kind = "leave"           // a backend server says in its answers that it leaves, serves on, ends, and restarts as a new server
	AskForQuiet       Kind = "ask for quiet"   // a backend server rejects some requests and wants none for a while
	HoldAnnouncements Kind = "hold announce"   // a backend server sends no announcements
	OddHeartbeats     Kind = "odd heartbeats"  // another writer sends heartbeats that cannot be read, or are no server's, to the control instances
	HarmfulRequest    Kind = "harmful request" // from now on, some callers send a request that ends each plain server that begins to run it
	NameLimit         Kind = "name limit"      // from now on, a backend server names a limit of its requests in its answers
	StallBodies       Kind = "stall bodies"    // many clients send large bodies to an entry instance and stop short of their end
	HarmfulPart       Kind = "harmful part"    // from now on, some prompts have a part that ends each engine that begins to answer on it
)

// Fault is one planned fault.
type Fault struct {
	At     time.Duration // from the start of the fault phase
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
	// faultsPerSecond is the mean rate of faults. With a mean duration of 2 s, two or three overlap.
	faultsPerSecond = 1.4
	maxFaultTime    = 4 * time.Second
	minFaultTime    = 200 * time.Millisecond
	// maxDelay is the maximum delay of one direction of a link.
	maxDelay = 300 * time.Millisecond
)

// targets are the names that faults can choose from.
type targets struct {
	entries, controls, ranks, servers, engines []string
}

// Kinds of faults for each role. A kind that is listed more often is chosen more often.
var (
	entryFaults   = []Kind{Kill, Pause, Stop, Reload}
	controlFaults = []Kind{Kill, Kill, Pause, Pause, Stop, Reset, BlockBoth, BlockInbound, BlockOutbound, Delay, KillControl, OddHeartbeats}
	rankFaults    = []Kind{Kill, Pause, Stop, Reload}
	serverFaults  = []Kind{Crash, Crash, CrashAll, Freeze, Drain, Leave, AskForQuiet, DamageAnswers, HoldAnnouncements, Reset, BlockBoth, BlockInbound, BlockOutbound, Delay}
	engineFaults  = []Kind{LoseOrders, LoseOrders, Crash, Freeze, Reset, BlockBoth, Delay}
)

// plan draws the faults of a seed. At most one disk is lost, since a deployment that tolerates one loss must recover from it
// before the next.
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
		duration := minFaultTime + time.Duration(random.Int64N(int64(maxFaultTime-minFaultTime)))
		switch f.Kind {
		case Kill, Stop, Reload, Reset, Crash, Drain, Leave:
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
	faults = append(faults, Fault{At: time.Duration(random.Int64N(int64(length / 2))), Kind: HarmfulPart},
		Fault{At: time.Duration(random.Int64N(int64(length / 2))), Kind: HarmfulRequest},
		Fault{At: time.Duration(random.Int64N(int64(length / 2))), Kind: NameLimit, Target: t.servers[random.IntN(len(t.servers))]})
	faults = append(faults, Fault{At: time.Duration(random.Int64N(int64(length / 2))), For: min(maxFaultTime, length/2), Kind: StallBodies,
		Target: t.entries[random.IntN(len(t.entries))]})
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}
