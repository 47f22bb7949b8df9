package rank

import (
	"context"
	"errors"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/controlstate"
	"github.com/banyanfront/banyanfront/decide/experts"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
	"github.com/banyanfront/banyanfront/platform"
)

func TestMain(m *testing.M) {
	log.SetHandler(discard.Default)
	os.Exit(m.Run())
}

// fakeEngine is an engine whose counts grow with each report.
type fakeEngine struct {
	report platform.EngineReport
	counts []uint64
	orders []experts.RankOrder
	reads  int
}

func (e *fakeEngine) Report(context.Context) (*platform.EngineReport, error) {
	for i := range e.counts {
		e.counts[i] += uint64(i)
	}
	r := e.report
	return &r, nil
}

func (e *fakeEngine) ExpertCounts(context.Context) (uint64, []uint64, error) {
	e.reads++
	return e.report.Epoch, append([]uint64(nil), e.counts...), nil
}

func (e *fakeEngine) HeldExperts(context.Context) (uint64, uint64, [][]int, error) {
	return e.report.Epoch, e.report.Map, [][]int{{1}}, nil
}

func (e *fakeEngine) Order(_ context.Context, o experts.RankOrder) (experts.OrderResult, error) {
	e.orders = append(e.orders, o)
	return experts.OrderDone, nil
}

// fakeSession records the messages sent to a control instance.
type fakeSession struct {
	transport.Session
	address string
	sent    []protocol.Message
}

func (s *fakeSession) Peer() protocol.Hello { return protocol.Hello{Address: s.address} }

func (s *fakeSession) Send(m protocol.Message) error {
	s.sent = append(s.sent, m)
	return nil
}

// take returns the reports sent since the last call, and how many of them had the demand.
func (s *fakeSession) take() (reports, withDemand int) {
	for _, m := range s.sent {
		if r, ok := m.(*protocol.Rank); ok {
			reports++
			if r.ExpertLoad != nil {
				withDemand++
			}
		}
	}
	s.sent = nil
	return reports, withDemand
}

// newTestProcess returns a rank process with sessions to the control instances a to d.
func newTestProcess(rank, size int) (*rankProcess, *fakeEngine, map[string]*fakeSession) {
	e := &fakeEngine{counts: make([]uint64, 8)}
	e.report = platform.EngineReport{Born: 1, Group: "g", Size: size, RankReport: experts.RankReport{Rank: rank, Epoch: 1, Open: true}}
	p := newRankProcess(&platform.Settings{Service: "s"}, e)
	sessions := map[string]*fakeSession{}
	for _, address := range []string{"a", "b", "c", "d"} {
		sessions[address] = &fakeSession{address: address}
		p.sessions[sessions[address]] = &protocol.ControlInstances{}
	}
	return p, e, sessions
}

// Guards against a control plane whose instances each receive the reports of the whole fleet: the demand goes to the
// coordinator of the group, the state to its deputy too.
func TestReportsGoToTheCoordinator(t *testing.T) {
	is := is.New(t)
	p, _, sessions := newTestProcess(0, 8)
	p.report(t.Context())
	for _, s := range sessions {
		reports, withDemand := s.take()
		is.Equal(reports, 1) // no coordinator is known: each instance learns of the group
		is.Equal(withDemand, 0)
	}
	p.sessions[sessions["a"]].Coordinators = []controlstate.Coordinator{{Group: "s/g", Instance: "d", Deputy: "a", Lease: 3}}
	p.sessions[sessions["b"]].Coordinators = []controlstate.Coordinator{{Group: "s/g", Instance: "b", Deputy: "c", Lease: 7},
		{Group: "s/other", Instance: "a", Lease: 9}}
	for range 3 * inventoryInterval {
		p.report(t.Context())
	}
	reports, withDemand := sessions["b"].take()
	is.Equal(reports, 3*inventoryInterval)
	is.Equal(withDemand, 3*inventoryInterval-1) // the first reading has none before it
	reports, withDemand = sessions["c"].take()
	is.Equal(reports, 3*inventoryInterval)
	is.Equal(withDemand, 0)
	reports, _ = sessions["a"].take()
	is.Equal(reports, 3)
	reports, _ = sessions["d"].take()
	is.Equal(reports, 3)
}

// Guards against entry instances that cannot learn the load of an engine: each report tells the requests that run and wait.
func TestReportsTellTheLoad(t *testing.T) {
	is := is.New(t)
	p, e, sessions := newTestProcess(0, 8)
	e.report.Running, e.report.Waiting = 6, 3
	p.report(t.Context())
	is.Equal(sessions["a"].sent[0].(*protocol.Rank).Requests, 9)
}

// Guards against a rank process that sends more than 28 KB/s, the target of a process for control, in a group of any size
// that the platform has: the demand is its largest part.
func TestRanksTakeTurnsToReportTheDemand(t *testing.T) {
	is := is.New(t)
	for size, most := range map[int]int{8: 64, 32: 64, 64: 33, 256: 9} {
		total := 0
		for _, rank := range []int{0, 1, size - 1} {
			p, _, sessions := newTestProcess(rank, size)
			p.sessions[sessions["a"]].Coordinators = []controlstate.Coordinator{{Group: "s/g", Instance: "a", Lease: 1}}
			for range 64 {
				p.report(t.Context())
			}
			_, withDemand := sessions["a"].take()
			is.True(withDemand > 0)
			is.True(withDemand <= most)
			total += withDemand
		}
		is.True(total >= 3*(most-2))
	}
}

// Guards against demand that is counted twice or lost between readings, and against counts of an earlier incarnation.
func TestDemandIsTheDifferenceOfReadings(t *testing.T) {
	is := is.New(t)
	var d demandReader
	load, _ := d.add(1, 1, []uint64{5, 5})
	is.Equal(load, nil)
	load, unit := d.add(2, 1, []uint64{5, 9})
	is.Equal(load, []byte{0, 4})
	is.Equal(unit, uint64(1))
	load, unit = d.add(3, 1, []uint64{5 + 1000, 9 + 300})
	is.Equal(unit, uint64(4))
	is.Equal(load, []byte{250, 75})
	load, _ = d.add(4, 1, []uint64{1005, 309})
	is.Equal(load, nil) // no requests
	load, _ = d.add(5, 2, []uint64{2000, 2000})
	is.Equal(load, nil) // another incarnation
	load, _ = d.add(6, 2, []uint64{1, 3000})
	is.Equal(load, nil) // the counts start anew
	load, _ = d.add(7+maxReadingAge, 2, []uint64{2, 3001})
	is.Equal(load, nil) // too long ago
}

// Guards against an order whose map is lost on the way to the engine.
func TestOrderReachesTheEngineWithItsMap(t *testing.T) {
	is := is.New(t)
	p, e, sessions := newTestProcess(0, 1)
	lists := experts.RankLists{{{0, 3}, {1, 2}}}
	order := experts.RankOrder{Operation: experts.OrderPrepare, Version: 4, Epoch: 1}
	p.executeOrder(sessions["a"], &protocol.RankOrder{Group: "g", Order: order, Map: lists.Encode()})
	is.Equal(len(e.orders), 1)
	is.Equal(e.orders[0].Map, lists)
	done, ok := sessions["a"].sent[0].(*protocol.RankDone)
	is.True(ok)
	is.Equal(done.Result, experts.OrderDone)
	is.Equal(done.Order, order)
	p.executeOrder(sessions["a"], &protocol.RankOrder{Group: "g", Order: order, Map: []byte{9}})
	is.Equal(len(e.orders), 1)
	_, err := experts.DecodeRankLists([]byte{9})
	is.True(errors.Is(err, experts.ErrMalformedRankLists))
}

// unreliableEngine leaves orders unanswered until it has got a number of them. It reports a preparation as complete copyTime after that.
type unreliableEngine struct {
	fakeEngine
	mu         sync.Mutex
	unanswered int
	received   int
	copyTime   time.Duration
	preparedAt time.Time
}

func (e *unreliableEngine) Order(ctx context.Context, o experts.RankOrder) (experts.OrderResult, error) {
	e.mu.Lock()
	e.received++
	lost := e.received <= e.unanswered
	if !lost && e.preparedAt.IsZero() {
		e.preparedAt = time.Now().Add(e.copyTime)
	}
	e.mu.Unlock()
	if lost {
		select {
		case <-ctx.Done():
		case <-time.After(400 * time.Millisecond): // as platform.EngineClient
		}
		return experts.OrderUnanswered, errors.New("no answer")
	}
	if o.Operation == experts.OrderPrepare {
		return experts.OrderAccepted, nil
	}
	return experts.OrderDone, nil
}

func (e *unreliableEngine) ordersReceived() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.received
}

func (e *unreliableEngine) Report(context.Context) (*platform.EngineReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := &platform.EngineReport{RankReport: experts.RankReport{Epoch: 1, Open: true}}
	if !e.preparedAt.IsZero() && !time.Now().Before(e.preparedAt) {
		r.Prepared = 4
	}
	return r, nil
}

// Guards against a lock-step group that stands still at a held step because orders to its engines get no answer: each is repeated at
// once on the engine's machine, not only when the coordinator sends it again.
func TestUnansweredOrderIsRepeatedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, _, sessions := newTestProcess(0, 1)
		e := &unreliableEngine{unanswered: 4}
		p.engine = e
		start := time.Now()
		order := &protocol.RankOrder{Group: "g", Order: experts.RankOrder{Operation: experts.OrderArm, Version: 4, Step: 9, Epoch: 1}}
		var again sync.WaitGroup
		again.Go(func() { // sent again by the coordinator meanwhile: it is not repeated twice
			time.Sleep(50 * time.Millisecond)
			p.executeOrder(sessions["b"], order)
		})
		p.executeOrder(sessions["a"], order)
		is.True(time.Since(start) <= 100*time.Millisecond)
		again.Wait()
		is.Equal(e.ordersReceived(), 5)
		for _, address := range []string{"a", "b"} {
			is.Equal(len(sessions[address].sent), 1)
			is.Equal(sessions[address].sent[0].(*protocol.RankDone).Result, experts.OrderDone)
		}
	})
}

// Guards against an engine that is sent an order for ever, and against a coordinator that is not told that there is no answer.
func TestOrderWithoutAnAnswerEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, _, sessions := newTestProcess(0, 1)
		e := &unreliableEngine{unanswered: 1000}
		p.engine = e
		p.executeOrder(sessions["a"], &protocol.RankOrder{Group: "g", Order: experts.RankOrder{Operation: experts.OrderHold, Step: 9, Epoch: 1}})
		is.Equal(sessions["a"].sent[0].(*protocol.RankDone).Result, experts.OrderUnanswered)
		synctest.Wait() // a copy that was due at the end has been given
		received := e.ordersReceived()
		is.True(received <= int(orderTimeout/orderRepeatInterval)+1)
		time.Sleep(time.Second)
		is.Equal(e.ordersReceived(), received)
	})
}

// Guards against a change of map that waits for a lost order although the experts are copied: the end of the preparation is read from the
// engine's reports.
func TestEndOfAPreparationIsReadFromReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, _, sessions := newTestProcess(0, 1)
		e := &unreliableEngine{copyTime: 160 * time.Millisecond}
		p.engine = e
		start := time.Now()
		p.executeOrder(sessions["a"], &protocol.RankOrder{Group: "g", Order: experts.RankOrder{Operation: experts.OrderPrepare, Version: 4, Epoch: 1}})
		is.True(time.Since(start) <= 240*time.Millisecond)
		is.Equal(e.ordersReceived(), 1)
		is.Equal(len(sessions["a"].sent), 2)
		is.Equal(sessions["a"].sent[1].(*protocol.RankDone).Result, experts.OrderDone)
	})
}

// Guards against two orders that are taken for one, as their fields run together.
func TestOrdersOfOtherGroupsAreToldApart(t *testing.T) {
	is := is.New(t)
	arm := func(epoch uint64) *experts.RankOrder {
		return &experts.RankOrder{Operation: experts.OrderArm, Version: 4, Step: 9, Epoch: epoch}
	}
	is.True(orderKey("g", arm(11)) != orderKey("g1", arm(1)))
}
