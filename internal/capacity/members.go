package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/membership"
	"github.com/banyanfront/banyanfront/internal/protocol"
)

// Members runs n detectors in virtual time with messages that arrive at once.
type Members struct {
	now       time.Time
	detectors map[fleet.InstanceID]*membership.Detector
	order     []fleet.InstanceID
	sent      Traffic
}

// NewMembers returns detectors that know each other.
func NewMembers(n int, seed uint64) (*Members, error) {
	m := &Members{now: time.Unix(1_780_000_000, 0), detectors: make(map[fleet.InstanceID]*membership.Detector)}
	for i := range n {
		id := InstanceID(i)
		m.detectors[id] = membership.New(membership.Config{Self: id, Incarnation: boot, Address: Address(i)},
			rand.New(rand.NewPCG(seed, uint64(i))), m.now)
		m.order = append(m.order, id)
		if err := m.deliver(m.detectors[id].Join(m.now, InstanceID(0), boot, Address(0))); err != nil {
			return nil, err
		}
	}
	return m, m.Run(30 * time.Second) // the news about the first members has spread
}

// Run advances the time.
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
		m.sent.Add(1, Frame(&protocol.Gossip{Payload: payload}), true)
		if to := m.detectors[envelope.To]; to != nil {
			pending = append(pending, to.Receive(m.now, &envelope.Message).Send...)
		}
	}
	return nil
}

// Sent returns what one member sends in a second, over a time of d. It receives as much.
func (m *Members) Sent(d time.Duration) (Traffic, error) {
	before := m.sent
	err := m.Run(d)
	return m.sent.Sum(before.Each(-1)).Each(1 / d.Seconds() / float64(len(m.order))), err
}
