package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_000_000, 0)

// Guards against arrivals that count for too long, or towards other priorities.
func TestArrivals(t *testing.T) {
	is := is.New(t)
	a := &Arrivals{}
	now := start
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		a.Record(now, 0)
		a.Record(now, 2)
		a.Record(now, 2)
	}
	is.True(a.MoreUrgent(now, 0) == 0)
	is.True(a.MoreUrgent(now, 1) > 85 && a.MoreUrgent(now, 1) <= 100)
	is.True(a.MoreUrgent(now, 12) > 255) // beyond the last priority
	is.Equal(a.MoreUrgent(now.Add(3*time.Second), 12), 0.0)
}

// Guards against room for urgent requests that starves the others.
func TestHeadroomIsBounded(t *testing.T) {
	is := is.New(t)
	is.Equal(Headroom(100, 50), 1.0)
	is.Equal(Limit(10, 1), 9.0)
	is.Equal(Limit(10, 100), 7.0)
	is.Equal(Limit(0, 100), 0.0)
}

// result is what a kind of request got: how many, and how many of them found no room.
type result struct{ asked, refused int }

// burstOfPatientKind plays servers shared by 30 instances: urgent requests at 0.6 of what the servers bear, and a patient kind that comes
// five times as often from 3 to 8 s. Each instance decides by loads that are 300 ms old and by what it has sent itself since. It
// returns what each priority got during the burst, and the part of the servers' room that was used then.
func burstOfPatientKind(keepRoom bool) (results [2]result, used float64) {
	const (
		instances, servers, slots = 30, 72, 10
		tick                      = 5 * time.Millisecond
		run                       = 1500 * time.Millisecond
		age                       = 300 * time.Millisecond
		urgentPerSecond           = 0.6 * servers * slots / 1.5
		patientPerSecond          = 0.15 * servers * slots / 1.5
		burst                     = 5
	)
	random := rand.New(rand.NewPCG(7, 7))
	var ends []time.Time   // of the requests that run
	var sent [][]time.Time // by instance, since the last picture
	for range instances {
		sent = append(sent, nil)
	}
	arrivals := make([]Arrivals, instances)
	var pictures []int // running requests at each tick
	samples := 0
	for i, now := 0, start; now.Before(start.Add(10 * time.Second)); i, now = i+1, now.Add(tick) {
		running := ends[:0]
		for _, end := range ends {
			if end.After(now) {
				running = append(running, end)
			}
		}
		ends = running
		pictures = append(pictures, len(ends))
		known := pictures[max(0, i-int(age/tick))]
		inBurst := now.After(start.Add(3*time.Second)) && now.Before(start.Add(8*time.Second))
		if inBurst {
			used += float64(len(ends)) / (servers * slots)
			samples++
		}
		rates := [2]float64{urgentPerSecond, patientPerSecond}
		if inBurst {
			rates[1] *= burst
		}
		for priority, rate := range rates {
			for expected := rate * tick.Seconds(); expected > 0; expected-- {
				if random.Float64() >= expected {
					continue
				}
				n := random.IntN(instances)
				arrivals[n].Record(now, priority)
				own := 0
				for _, at := range sent[n] {
					if now.Sub(at) <= age {
						own++
					}
				}
				limit := float64(servers * slots)
				if keepRoom {
					limit = servers * Limit(slots, Headroom(instances*arrivals[n].MoreUrgent(now, priority), servers))
				}
				admitted := float64(known+own) < limit
				if inBurst {
					results[priority].asked++
					if !admitted {
						results[priority].refused++
					}
				}
				if admitted {
					sent[n] = append(sent[n], now)
					ends = append(ends, now.Add(time.Duration((0.5+random.Float64())*float64(run))))
				}
			}
		}
	}
	return results, used / float64(samples)
}

// Guards against the burst of a patient kind that urgent requests pay for. The patient kind pays itself, is not refused altogether, and the
// room is used.
func TestBurstOfAPatientKind(t *testing.T) {
	is := is.New(t)
	without, _ := burstOfPatientKind(false)
	with, used := burstOfPatientKind(true)
	refused := func(r result) float64 { return float64(r.refused) / float64(r.asked) }
	t.Logf("refused without room kept: urgent %.3f, patient %.3f; with: urgent %.3f, patient %.3f; used %.3f",
		refused(without[0]), refused(without[1]), refused(with[0]), refused(with[1]), used)
	is.True(refused(without[0]) > 0.1) // the load that this package answers
	is.True(refused(with[0]) < 0.02)
	is.True(refused(with[1]) < 0.9)
	is.True(used > 0.8)
}
