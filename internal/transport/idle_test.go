package transport

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/internal/protocol"
)

// newAgentPair connects an agent, the dialling side, to an entry instance.
func newAgentPair(t *testing.T, serve func(Stream, *protocol.Open)) *pair {
	t.Helper()
	cfg := Config{FleetKey: testKey}
	p := &pair{ha: &recorder{serve: serve}, hb: &recorder{}}
	var err error
	p.a, p.b, p.faults, err = Pipe(cfg, protocol.Hello{Instance: "agent", Agent: true}, p.ha, cfg, protocol.Hello{Instance: "entry"}, p.hb)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// Guards against heartbeats that exceed the traffic budget of 28 KB/s of an entry instance with 300 agents: an idle
// session with an agent carries one ping every 6 s and does not become suspect.
func TestIdleAgentSessionSendsFewPingsAndStaysLive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newAgentPair(t, func(st Stream, _ *protocol.Open) {
			_ = st.Send(context.Background(), &protocol.End{Outcome: protocol.OutcomeDone})
		})
		defer p.close()
		time.Sleep(10 * time.Second)
		before := p.b.(StatsProvider).Stats()
		time.Sleep(10 * time.Minute)
		after := p.b.(StatsProvider).Stats()
		is.True(after.BytesSent+after.BytesReceived-before.BytesSent-before.BytesReceived < 100*30) // 100 pings and pongs
		st, err := p.b.Open(context.Background(), &protocol.Open{Attempt: "x"})
		is.NoErr(err)
		_, err = st.Receive(context.Background())
		is.NoErr(err)
		time.Sleep(time.Minute)
		is.Equal(len(p.ha.recordedStates()), 0) // neither side has suspected the other
		is.Equal(len(p.hb.recordedStates()), 0)
	})
}

// Guards against a request that waits for the long limits of an idle session: silence, in either direction or both, counts
// from the time an answer is awaited, and the session is suspect after 3 s and lost after 5 s.
func TestSilentIdleSessionIsDetectedOnceUsed(t *testing.T) {
	for name, silent := range map[string][]Direction{"to the agent": {BToA}, "from the agent": {AToB}, "both": {AToB, BToA}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newAgentPair(t, func(st Stream, _ *protocol.Open) {
					_, _ = st.Receive(context.Background())
				})
				defer p.close()
				time.Sleep(time.Minute)
				for _, d := range silent {
					p.faults.Stall(d, true)
				}
				time.Sleep(time.Second)
				opened := time.Now()
				st, err := p.b.Open(context.Background(), &protocol.Open{Attempt: "x"})
				is.NoErr(err)
				for p.b.State() == StateLive {
					time.Sleep(10 * time.Millisecond)
				}
				is.True(time.Since(opened) <= DefaultSuspectAfter+100*time.Millisecond)
				_, err = st.Receive(context.Background())
				is.True(err != nil)
				is.True(time.Since(opened) <= DefaultGiveUpAfter+100*time.Millisecond)
			})
		})
	}
}
