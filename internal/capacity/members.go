package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/membership"
	"github.com/banyanfront/banyanfront/internal/protocol"
)

// Members runs n failure detectors in virtual time. Messages arrive without delay.
type Members struct {
	now       time.Time
	detectors map[fleet.InstanceID]*membership.Detector
	order     []fleet.InstanceID
	sent      Traffic
}

// NewMembers returns n failure detectors after all have joined.
func NewMembers(n int, seed uint64) (*Members, error) {
	m := &Members{now: time.Unix(1_780_000_000, 0), detectors: make(map[fleet.InstanceID]*membership.Detector)}
	for i := range n {
		id := InstanceID(i)
		m.detectors[id] = membership.New(membership.Config{Self: id, Incarnation: incarnation, Address: Address(i)},
			rand.New(rand.NewPCG(seed, uint64(i))), m.now)
		m.order = append(m.order, id)
		if err := m.deliver(m.detectors[id].Join(m.now, InstanceID(0), incarnation, Address(0))); err != nil {
			return nil, err
		}
	}
	return m, m.Run(30 * time.Second) // until the join events have been disseminated
}

// Run advances virtual time by d.
func (m *Members) Run(d time.Duration) error {
	const step = 250 * time.Millisecond
	for range d / step {
		m.now = m.now.Add(step)
		for _, id := range m.order {
			if err := m.deliver(m.detectors[id].Tick(m.now)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (m *Members) deliver(out membership.Output) error {
	for pending := out.Send; len(pending) > 0; pending = pending[1:] {
		envelope := pending[0]
		payload, err := protocol.EncodeGossip(&envelope.Message)
		if err != nil {
			return fmt.Errorf("membership message to %s: %w", envelope.To, err)
		}
		m.sent.Add(1, FrameBytes(&protocol.Gossip{Payload: payload}), true)
		if to := m.detectors[envelope.To]; to != nil {
			pending = append(pending, to.Receive(m.now, &envelope.Message).Send...)
		}
	}
	return nil
}

// Sent returns the traffic per second that one member sends, averaged over d. It receives the same amount.
func (m *Members) Sent(d time.Duration) (Traffic, error) {
	before := m.sent
	err := m.Run(d)
	return m.sent.Plus(before.Times(-1)).Times(1 / d.Seconds() / float64(len(m.order))), err
}
