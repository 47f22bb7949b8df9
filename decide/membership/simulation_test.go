package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// network runs detectors in simulated time over links that can be blocked per direction, slow or lossy.
type network struct {
	now              time.Time
	random           *rand.Rand
	queue            events
	nodes            []*node
	byID             map[fleet.InstanceID]*node
	blocked          func(from, to int) bool
	delay            func(from, to int) time.Duration
	loss             float64
	changes          []change
	onDigestMismatch func(node int, member fleet.InstanceID)
	serial           int
}

type node struct {
	*Detector
	index            int
	down             bool
	pausedUntil      time.Time // the process does not run before this time
	queued           []Message // received while paused
	dropsWhilePaused bool      // messages that arrive during a pause are lost
}

type change struct {
	at   time.Duration
	node int
	Change
}

type event struct {
	at     time.Time
	serial int
	run    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].serial < e[j].serial)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

var start = time.Unix(1000, 0)

func id(i int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprintf("i%03d", i)) }

func newNetwork(n int, seed uint64) *network {
	w := &network{now: start, random: rand.New(rand.NewPCG(seed, 9)), byID: make(map[fleet.InstanceID]*node),
		blocked: func(int, int) bool { return false }, delay: func(int, int) time.Duration { return 2 * time.Millisecond }}
	for i := range n {
		w.startNode(i, 1)
	}
	return w
}

// startNode starts or restarts instance i with the first two instances in its settings.
func (w *network) startNode(i int, incarnation fleet.Incarnation) {
	x := &node{index: i, Detector: New(Config{Self: id(i), Incarnation: incarnation, Address: fmt.Sprintf("10.0.0.%d:7070", i)},
		rand.New(rand.NewPCG(uint64(i), uint64(incarnation))), w.now)}
	if i < len(w.nodes) {
		w.nodes[i].down = true
		w.nodes[i] = x
	} else {
		w.nodes = append(w.nodes, x)
	}
	w.byID[id(i)] = x
	w.at(time.Duration(w.random.Int64N(int64(time.Second))), func() {
		for seed := range 2 {
			w.output(x, x.Join(w.now, id(seed), 1, fmt.Sprintf("10.0.0.%d:7070", seed)))
		}
		w.tick(x)
	})
}

func (w *network) at(after time.Duration, run func()) {
	w.serial++
	heap.Push(&w.queue, event{w.now.Add(after), w.serial, run})
}

func (w *network) tick(x *node) {
	if x.down {
		return
	}
	if w.now.Before(x.pausedUntil) {
		w.at(x.pausedUntil.Sub(w.now), func() { w.tick(x) })
		return
	}
	for _, m := range x.queued {
		w.output(x, x.Receive(w.now, &m))
	}
	x.queued = nil
	w.output(x, x.Tick(w.now))
	w.at(x.NextTick().Sub(w.now), func() { w.tick(x) })
}

func (w *network) output(x *node, out Output) {
	for _, c := range out.Changes {
		w.changes = append(w.changes, change{w.now.Sub(start), x.index, c})
	}
	for _, member := range out.DigestMismatches {
		if w.onDigestMismatch != nil {
			w.onDigestMismatch(x.index, member)
		}
	}
	for _, envelope := range out.Send {
		to := w.byID[envelope.To]
		if w.blocked(x.index, to.index) || w.random.Float64() < w.loss {
			continue
		}
		w.at(w.delay(x.index, to.index), func() {
			switch to = w.byID[envelope.To]; {
			case to.down:
			case w.now.Before(to.pausedUntil):
				if !to.dropsWhilePaused {
					to.queued = append(to.queued, envelope.Message)
				}
			default:
				w.output(to, to.Receive(w.now, &envelope.Message))
			}
		})
	}
}

func (w *network) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// removals returns the changes from index since onwards that removed a member.
func (w *network) removals(since int) []change {
	var result []change
	for _, c := range w.changes[since:] {
		if c.Removed {
			result = append(result, c)
		}
	}
	return result
}
