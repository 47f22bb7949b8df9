package transport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/internal/protocol"
)

// batchOf returns a batch of the messages on one stream.
func batchOf(t *testing.T, stream uint64, messages ...protocol.Message) (batch []byte) {
	t.Helper()
	for _, m := range messages {
		f, err := protocol.Encode(stream, m)
		if err != nil {
			t.Fatal(err)
		}
		batch = append(batch, make([]byte, batchPrefixBytes)...)
		putBatchPrefix(batch[len(batch)-batchPrefixBytes:], len(f))
		batch = append(batch, f...)
	}
	return batch
}

// Guards against bad input on one stream that is not detected, or that affects other streams or the session.
func TestBadStreamInput(t *testing.T) {
	data := &protocol.Data{Payload: []byte("0123456789")}
	valid := batchOf(t, 1, data)
	oversized := slices.Concat([]byte{batchPrefix, 0, 0x10, 0, 1}, valid[batchPrefixBytes:], // 1 MiB and one byte
		make([]byte, protocol.MaxMessageBytes+1+batchPrefixBytes-len(valid)))
	flood := bytes.Repeat(batchOf(t, 1, &protocol.InquiryResult{}), maxInboxMessages+1)
	big := batchOf(t, 1, &protocol.Data{Payload: make([]byte, 200<<10)}, &protocol.Data{Offset: 200 << 10, Payload: make([]byte, 200<<10)})
	for name, c := range map[string]struct {
		batch []byte
		kind  StreamErrorKind
	}{
		"truncated":       {valid[:len(valid)-3], StreamMalformed},
		"malformed":       {append([]byte{batchPrefix, 0, 0, 0, 4, 0x83, 1, byte(protocol.TypeData)}, 0xff), StreamMalformed},
		"oversized":       {oversized, StreamTooLarge},
		"gap":             {batchOf(t, 1, data, &protocol.Data{Offset: 11}), StreamOutOfOrder},
		"repetition":      {batchOf(t, 1, data, data), StreamOutOfOrder},
		"repeated token":  {batchOf(t, 1, &protocol.Data{Offset: 7, Tokens: 1}, &protocol.Data{Offset: 7, Tokens: 1}), StreamOutOfOrder},
		"late head":       {batchOf(t, 1, data, &protocol.Head{}), StreamOutOfOrder},
		"foreign message": {batchOf(t, 1, &protocol.Ping{}), StreamOutOfOrder},
		"beyond credit":   {big, StreamFlowControl},
		"false credit":    {batchOf(t, 1, &protocol.Credit{Bytes: 1}), StreamFlowControl},
		"negative credit": {batchOf(t, 1, &protocol.Credit{Bytes: -5}), StreamFlowControl},
		"flood":           {flood, StreamOverflow},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				peer := make(chan error, 1)
				p := newPair(t, Config{}, func(st Stream, open *protocol.Open) {
					if open.Attempt == "good" {
						echo(3)(st, open)
						return
					}
					_, err := readAll(st)
					peer <- err
				})
				defer p.close()
				bad, err := p.a.Open(context.Background(), &protocol.Open{Attempt: "bad"})
				is.NoErr(err)
				synctest.Wait()
				p.faults.Inject(BToA, c.batch)
				synctest.Wait()
				var failed *StreamError
				_, err = readAll(bad)
				is.True(errors.As(err, &failed))
				is.Equal(failed.Kind, c.kind)
				is.True(errors.As(<-peer, &failed)) // the peer is notified
				is.Equal(failed.Kind, StreamCancelled)
				good, err := p.a.Open(context.Background(), &protocol.Open{Attempt: "good"})
				is.NoErr(err)
				n, err := readAll(good)
				is.Equal(n, 3)
				is.Equal(err, io.EOF)
			})
		})
	}
}

// Guards against keeping the session of a peer that violates the framing or uses stream numbers of this side.
func TestBadSessionInput(t *testing.T) {
	for name, batch := range map[string][]byte{
		"no prefix":      []byte("GET / HTTP/1.1"),
		"no frame":       {batchPrefix, 0, 0, 0, 9},
		"bad header":     {batchPrefix, 0, 0, 0, 1, 0xff},
		"foreign stream": batchOf(t, 1, &protocol.Open{}),
		"stream message": batchOf(t, 0, &protocol.Data{}),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newPair(t, Config{}, nil)
				st, err := p.a.Open(context.Background(), &protocol.Open{})
				is.NoErr(err)
				synctest.Wait()
				p.faults.Inject(BToA, batch)
				<-p.a.Done()
				<-p.b.Done()
				var lost *SessionLost
				_, err = st.Receive(context.Background())
				is.True(errors.As(err, &lost))
				is.True(strings.Contains(lost.Reason, "check the peer's version") || strings.Contains(lost.Reason, "check that both sides"))
			})
		})
	}
}

// Guards against a session that ends at a message which cannot be decoded, and ends again at the same message after each
// reconnect, so that nothing behind it ever arrives: the state of the routes, for example.
func TestUndecodableMessageEndsNoSession(t *testing.T) {
	oversized, err := protocol.Encode(0, &protocol.Gossip{Payload: make([]byte, protocol.MaxMessageBytes-100)})
	if err != nil {
		t.Fatal(err)
	}
	oversized = append(oversized, make([]byte, protocol.MaxMessageBytes+1-len(oversized))...)
	for name, frame := range map[string][]byte{
		"malformed body": append([]byte{0x83, 0, byte(protocol.TypeGossip)}, 0xa1, 1, 0xff),
		"body no map":    {0x83, 0, 0x18, byte(protocol.TypeRelayedAnnouncements), 0x60},
		"oversized":      oversized,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newPair(t, Config{}, nil)
				defer p.close()
				before := messagesUndecodable.Get()
				batch := append(make([]byte, batchPrefixBytes), frame...)
				putBatchPrefix(batch, len(frame))
				p.faults.Inject(BToA, append(batch, batchOf(t, 0, &protocol.Gossip{Payload: []byte("next")})...))
				synctest.Wait()
				is.Equal(p.a.State(), StateLive)
				p.ha.mu.Lock()
				defer p.ha.mu.Unlock()
				is.Equal(p.ha.messages, []protocol.Message{&protocol.Gossip{Payload: []byte("next")}})
				is.Equal(messagesUndecodable.Get(), before+1)
			})
		})
	}
}

// Guards against ending a stream or session on unknown messages of newer peers or on late frames of ended streams.
func TestHarmlessInput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t, Config{}, echo(1))
		defer p.close()
		st, err := p.a.Open(context.Background(), &protocol.Open{})
		is.NoErr(err)
		p.faults.Inject(BToA, []byte{batchPrefix, 0, 0, 0, 5, 0x83, 1, 0x18, 200, 0xa0}) // unknown type on the stream
		n, err := readAll(st)
		is.Equal(n, 1)
		is.Equal(err, io.EOF)
		p.faults.Inject(BToA, batchOf(t, 1, &protocol.Data{}))  // of the ended stream
		p.faults.Inject(BToA, batchOf(t, 99, &protocol.Data{})) // of a stream that was never opened
		synctest.Wait()
		is.Equal(p.a.State(), StateLive)
		is.Equal(p.b.State(), StateLive)
	})
}

// Guards against slow readers that together exhaust memory, and against cancelling a stream whose reader keeps up.
func TestUnreadBytesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t, Config{ReceiveBytes: 150 << 10, WindowBytes: 64 << 10}, func(st Stream, open *protocol.Open) {
			if open.Attempt == "good" {
				echo(1000)(st, open)
				return
			}
			for i := 0; ; i++ {
				if st.Send(context.Background(), &protocol.Data{Offset: uint64(i * 1000), Payload: make([]byte, 1000)}) != nil {
					return
				}
			}
		})
		defer p.close()
		var slow []Stream
		for range 3 {
			st, err := p.a.Open(context.Background(), &protocol.Open{})
			is.NoErr(err)
			slow = append(slow, st)
		}
		time.Sleep(time.Millisecond) // distinguishes the slow readers from one that is merely not scheduled yet
		good, err := p.a.Open(context.Background(), &protocol.Open{Attempt: "good"})
		is.NoErr(err)
		n, err := readAll(good)
		is.Equal(n, 1000)
		is.Equal(err, io.EOF)
		synctest.Wait()
		is.True(p.a.(*session).unreadBytes.Load() <= 150<<10)
		cancelled := 0
		for _, st := range slow {
			var failed *StreamError
			if errors.As(st.(*stream).recvErr, &failed) && failed.Kind == StreamOverflow {
				cancelled++
			}
			st.Close("test")
		}
		is.True(cancelled > 0 && cancelled < 3)
		synctest.Wait()
		is.Equal(p.a.(*session).unreadBytes.Load(), int64(0)) // the bytes of cancelled and closed streams no longer count
		ended, err := p.a.Open(context.Background(), &protocol.Open{Attempt: "good"})
		is.NoErr(err)
		for synctest.Wait(); ended.(*stream).recvErr == nil; synctest.Wait() {
			_, err = ended.Receive(context.Background())
			is.NoErr(err)
		}
		is.Equal(p.a.(*session).unreadBytes.Load(), int64(0)) // unread bytes of an ended answer do not count against other streams
		ended.Close("test")
		is.Equal(p.a.(*session).unreadBytes.Load(), int64(0))
	})
}

// Guards against unbounded queues to a peer that reads nothing, and against a Send that blocks beyond its context.
func TestBoundedQueues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t, Config{QueueMessages: 10}, func(st Stream, _ *protocol.Open) { _, _ = st.Receive(context.Background()) })
		defer p.close()
		st, err := p.a.Open(context.Background(), &protocol.Open{})
		is.NoErr(err)
		synctest.Wait()
		p.faults.Stall(AToB, true)
		var full *QueueFull
		for range 100 {
			if err = p.a.Send(&protocol.Gossip{Payload: make([]byte, 100<<10)}); err != nil {
				break
			}
		}
		is.True(errors.As(err, &full))
		var refused *OpenRefused
		for range 100 {
			if _, err = p.a.Open(context.Background(), &protocol.Open{Body: make([]byte, 500<<10)}); err != nil {
				break
			}
		}
		is.True(errors.As(err, &refused))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		for err = nil; err == nil; {
			err = st.Send(ctx, &protocol.Data{Payload: make([]byte, 10<<10)})
		}
		is.Equal(err, context.DeadlineExceeded)
	})
}

// Guards against a planned stop that interrupts running requests or accepts new ones.
func TestGoAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t, Config{}, func(st Stream, open *protocol.Open) {
			time.Sleep(time.Minute)
			echo(2)(st, open)
		})
		defer p.close()
		st, err := p.a.Open(context.Background(), &protocol.Open{})
		is.NoErr(err)
		synctest.Wait()
		p.faults.Delay(BToA, time.Second) // so that GoAway has not arrived when the next stream is opened
		p.b.GoAway("restart")
		racing, err := p.a.Open(context.Background(), &protocol.Open{})
		is.NoErr(err)
		synctest.Wait()
		m, err := racing.Receive(context.Background())
		is.NoErr(err)
		is.Equal(m.(*protocol.End).Outcome, protocol.OutcomeNotRun)
		var refused *OpenRefused
		_, err = p.a.Open(context.Background(), &protocol.Open{})
		is.True(errors.As(err, &refused))
		n, err := readAll(st)
		is.Equal(n, 2)
		is.Equal(err, io.EOF)
		p.ha.mu.Lock()
		defer p.ha.mu.Unlock()
		is.Equal(p.ha.messages, []protocol.Message{&protocol.GoAway{Reason: "restart"}})
	})
}

// Guards against large frames that delay heartbeats or other streams, and against a separate write for each small frame.
func TestWriterIsFair(t *testing.T) {
	is := is.New(t)
	cfg, err := Config{FleetKey: testKey}.withDefaults()
	is.NoErr(err)
	s := newSession(nil, cfg, protocol.Hello{}, 4<<20, &recorder{}, true) // not started: the test takes the batches itself
	ctx := context.Background()
	large, err := s.Open(ctx, &protocol.Open{Body: make([]byte, 500<<10)})
	is.NoErr(err)
	is.NoErr(large.Send(ctx, &protocol.Data{Payload: make([]byte, 500<<10)}))
	for range 20 {
		st, err := s.Open(ctx, &protocol.Open{})
		is.NoErr(err)
		is.NoErr(st.Send(ctx, &protocol.Head{}))
	}
	is.NoErr(s.Send(&protocol.Consensus{Payload: make([]byte, 50<<10)}))
	s.sendUrgent(0, &protocol.Ping{})
	var order []protocol.Message
	var batches []int
	for b := getBatch(); s.nextBatch(b); *b = (*b)[:0] {
		batches = append(batches, len(*b))
		for rest := *b; len(rest) > 0; {
			size := int(rest[1])<<24 | int(rest[2])<<16 | int(rest[3])<<8 | int(rest[4])
			_, m, err := protocol.Decode(rest[batchPrefixBytes : batchPrefixBytes+size])
			is.NoErr(err)
			order = append(order, m)
			rest = rest[batchPrefixBytes+size:]
		}
	}
	is.Equal(len(order), 44)
	is.Equal(order[0].Type(), protocol.TypePing)
	is.Equal(order[1].Type(), protocol.TypeConsensus)
	for _, m := range order[2:42] {
		open, ok := m.(*protocol.Open)
		is.True(!ok || len(open.Body) == 0) // the small streams are served before the large one
	}
	is.Equal(len(batches), 2) // the Open fills the first batch, the Data follows in the second
}
