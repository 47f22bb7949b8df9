package rank

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/experts"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

const (
	// orderRepeatInterval is the time without an answer after which an order is sent to the engine again. The engine is on this machine:
	// what it has not answered by then is lost, or carried out seconds later. Until all ranks have answered, their group may stand still.
	orderRepeatInterval = 20 * time.Millisecond
	// orderTimeout ends the repetition; the coordinator is told that there was no answer.
	orderTimeout = 400 * time.Millisecond
	// preparePollInterval is the interval for reading whether a preparation is complete. Reports are free on the engine's own machine, and
	// tell its state at the time of the call there.
	preparePollInterval = 40 * time.Millisecond
	// prepareTimeout ends the reading: the coordinator aborts a change whose preparation takes longer.
	prepareTimeout = 10 * time.Second
)

// orderAnswer is the engine's answer to an order.
type orderAnswer struct {
	result experts.OrderResult
	err    error
}

// executeOrder sends an order to the engine and reports the result over the session that it came from. An order that is still being
// repeated is not begun again; its result is reported to each sender.
func (p *rankProcess) executeOrder(session transport.Session, m *protocol.RankOrder) {
	o := m.Order
	if m.Map != nil {
		lists, err := experts.DecodeRankLists(m.Map)
		if err != nil {
			log.WithError(err).WithField("group", m.Group).Error("order not given to the engine")
			return
		}
		o.Map = lists
	}
	shared, _, _ := p.orders.Do(orderKey(m.Group, &o), func() (any, error) { return p.giveOrder(o), nil })
	answer := shared.(orderAnswer)
	o.Map = nil
	log.WithFields(log.Fields{"group": m.Group, "operation": string(o.Operation), "version": o.Version, "step": o.Step,
		"epoch": o.Epoch, "result": int(answer.result), "error": errorText(answer.err)}).Info("order given to the engine")
	done := &protocol.RankDone{Group: m.Group, Order: o, Result: answer.result}
	if err := session.Send(done); err != nil {
		log.WithError(err).Debug("result of an order not sent; the coordinator repeats the order")
	}
	if o.Operation == experts.OrderPrepare && answer.result == experts.OrderAccepted {
		p.awaitPrepared(session, m.Group, o)
	}
}

// orderKey identifies an order: no two have the same operation, version and step in one epoch of a group.
func orderKey(group string, o *experts.RankOrder) string {
	return fmt.Sprintf("%s/%d/%s/%d/%d", group, o.Epoch, o.Operation, o.Version, o.Step)
}

// giveOrder sends an order to the engine, and again until it is answered.
func (p *rankProcess) giveOrder(o experts.RankOrder) orderAnswer {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	answers := make(chan orderAnswer, orderTimeout/orderRepeatInterval+1)
	give := func() {
		result, err := p.engine.Order(ctx, o)
		answers <- orderAnswer{result, err}
	}
	repeat := time.NewTicker(orderRepeatInterval)
	defer repeat.Stop()
	go give()
	last := orderAnswer{experts.OrderUnanswered, context.DeadlineExceeded}
	for {
		select {
		case answer := <-answers:
			if answer.result != experts.OrderUnanswered {
				return answer
			}
			last = answer
		case <-repeat.C:
			go give()
		case <-ctx.Done():
			return last
		case <-p.done:
			return last
		}
	}
}

// awaitPrepared reports the end of a preparation that the engine has accepted. The engine's reports tell it: orders may be lost, and each
// that is sent again may be carried out late.
func (p *rankProcess) awaitPrepared(session transport.Session, group string, o experts.RankOrder) {
	poll := time.NewTicker(preparePollInterval)
	defer poll.Stop()
	for end := time.Now().Add(prepareTimeout); time.Now().Before(end); {
		select {
		case <-poll.C:
		case <-p.done:
			return
		}
		r, err := p.engine.Report(context.Background())
		if err != nil {
			continue
		}
		if r.Epoch != o.Epoch || max(r.Prepared, r.Map) > o.Version {
			return // superseded
		}
		if r.Prepared < o.Version && r.Map < o.Version {
			continue
		}
		if err := session.Send(&protocol.RankDone{Group: group, Order: o, Result: experts.OrderDone}); err != nil {
			log.WithError(err).Debug("end of a preparation not sent; the reports include it")
		}
		return
	}
}
