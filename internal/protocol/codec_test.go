package protocol

import (
	"bytes"
	"errors"
	"reflect"
	"testing"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/controlstate"
	"github.com/banyanfront/banyanfront/decide/experts"
	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/quarantine"
	"github.com/banyanfront/banyanfront/decide/registry"
)

// samples returns a message of each type with its fields set.
func samples() []Message {
	return []Message{
		&Hello{Version: 1, Instance: "i", Incarnation: 7, DataCentre: "ub-north", Agent: true, Address: "a:1", Revision: 9},
		&Announce{fleet.Announcement{Server: "s", Incarnation: 1, Models: []fleet.Model{{Name: "m", Adapters: []string{"x"}}}, Capacity: 8}},
		&Load{fleet.Load{Server: "s", Sequence: 3, KVUsed: 0.5, TimeToFirstToken: 1e9}},
		&Open{Attempt: "a", Organisation: "o", Headers: []Header{{"k", "v"}}, Body: []byte("b"), Spill: &Spill{Name: "m"}},
		&Head{Status: 200, Headers: []Header{{"k", "v"}}},
		&Data{Offset: 70000, Payload: []byte("payload"), Tokens: 2},
		&Credit{Bytes: 65536},
		&End{Outcome: OutcomeDone, Reason: "r", Load: &fleet.Load{Running: 2}},
		&Cancel{Reason: "r"},
		&Inquire{Attempt: "a", Incarnation: 1, WantAnswer: true},
		&InquiryResult{Attempt: "a", Outcome: OutcomeFailed, Body: []byte("b"), HasAnswer: true},
		&Ping{Sequence: 1, SilenceMS: 3000},
		&Pong{Sequence: 1},
		&GoAway{Reason: "r"},
		&Roster{Addresses: []string{"a", "b"}, Revision: 4, Draining: true},
		&Consensus{Payload: []byte{1}},
		&Propose{ID: "p", Command: []byte{2}},
		&Proposed{ID: "p", Index: 5, Result: []byte{3}, Accepted: true},
		&State{From: 1, Index: 2, Snapshot: []byte{4}, Entries: [][]byte{{5}, {6}}},
		&Summary{Sequence: 1, Targets: []fleet.Summary{{Name: "m", Free: 3}}},
		&Gossip{Payload: []byte{7}},
		&Order{ID: "o", Fencing: 8, Action: "load"},
		&OrderDone{ID: "o", RefusalReason: "r"},
		&Founding{Self: Member{Instance: "a", ID: 1, Address: "127.0.0.1:1"}, Founded: true, Members: []Member{{Instance: "a", ID: 1}}},
		&Join{Member: Member{Instance: "a", ID: 1, Address: "127.0.0.1:1"}},
		&DataCentres{Payload: []byte{9}},
		&RelayedAnnouncements{Servers: []RelayedAnnouncement{{Announcement: registry.Announcement{Server: "s", Sequence: 3, ColdRemaining: 5}, AgeMS: 7}}},
		&ControlInstances{Addresses: []string{"127.0.0.1:1"}, EntryInstances: 4,
			Coordinators: []controlstate.Coordinator{{Group: "s/g", Instance: "127.0.0.1:1", Deputy: "127.0.0.1:2", Lease: 3}}},
		&Rank{Service: "s", Group: "g", Size: 2, Report: experts.RankReport{Rank: 1, Step: 5}, ExpertLoad: []byte{1, 2}, LoadUnit: 3, HeldExperts: [][]int{{0}, {1}}, Requests: 7},
		&RankOrder{Group: "g", Order: experts.RankOrder{Rank: 1, Operation: experts.OrderPrepare, Version: 2}, Map: experts.RankLists{{{0}, {1}}}.Encode()},
		&RankDone{Group: "g", Order: experts.RankOrder{Rank: 1, Operation: experts.OrderArm, Step: 3}, Result: experts.OrderDone},
		&GroupLoads{Service: "s", Group: "g", Requests: []byte{0, 3, UnknownGroupLoad}},
		&PromptParts{Service: "s", Ended: &EndedEngine{Server: "i", StartedAtMillis: 5, Parts: []string{"a"}, AgeMS: 1.5, OpenMS: 40, Answering: true}, Answered: []string{"b"},
			Suspected: []PartSuspicion{{Part: "c", Ends: 2, LastEndAgeMS: 3, RemainingMS: 4, Quarantines: 1, AnsweredBefore: true,
				Engines: []quarantine.Engine{{Server: "i", StartedAtMillis: 5}}, With: []string{"d"}, UnansweredEnds: 3}}},
		&ServerLimits{Limits: []ServerLimit{{Server: "i", StartedAtMillis: 5, RequestsPerSecond: 2.5}}},
		&PermitRequest{Service: "s", Wanted: 3, Limited: 2},
		&Permits{Service: "s", Servers: []string{"i", "j", "i"}, RetryAfterMS: 400, Outdated: true},
	}
}

// Guards against a message type that cannot be encoded, or that loses a field.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	is.Equal(len(samples()), int(TypePermits)) // every type has a sample
	for i, m := range samples() {
		stream := uint64(i) << (2 * i)
		frame, err := Encode(stream, m)
		is.NoErr(err)
		gotStream, got, err := Decode(frame)
		is.NoErr(err)
		is.Equal(gotStream, stream)
		is.True(reflect.DeepEqual(got, m))
		clear(frame)
		is.True(reflect.DeepEqual(got, m)) // the message shares no memory with the frame
	}
}

// fillText sets all text of a message, also in lists and nested values.
func fillText(v reflect.Value, text string) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if !v.IsNil() {
			fillText(v.Elem(), text)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			fillText(v.Field(i), text)
		}
	case reflect.Slice:
		for i := range v.Len() {
			fillText(v.Index(i), text)
		}
	case reflect.String:
		v.SetString(text)
	}
}

// Guards against text of a caller or server that the encoder accepts and the peer refuses: the session would end again and
// again, for all that use it.
func TestTextThatIsNotUTF8(t *testing.T) {
	for _, m := range samples() {
		fillText(reflect.ValueOf(m), "ca\xf1on-1")
		frame, err := Encode(0, m)
		if err != nil {
			t.Fatalf("%T: %v", m, err)
		}
		_, decoded, err := Decode(frame)
		if err != nil {
			t.Errorf("%T: %v", m, err)
		} else if !reflect.DeepEqual(decoded, m) {
			t.Errorf("%T: %+v decoded as %+v", m, m, decoded)
		}
	}
	for _, c := range sampleCommands() {
		fillText(reflect.ValueOf(c), "ca\xf1on-1")
		encoded, err := EncodeCommand(c)
		if err != nil {
			t.Fatalf("%T: %v", c, err)
		}
		if decoded, err := DecodeCommand(encoded); err != nil || !reflect.DeepEqual(decoded, c) {
			t.Errorf("%T: %+v decoded as %+v: %v", c, c, decoded, err)
		}
	}
}

// Guards against an encoding of Data that differs from that of the CBOR library.
func TestHandWrittenDataCodecMatchesLibrary(t *testing.T) {
	is := is.New(t)
	for _, d := range []*Data{{Payload: []byte{}}, {Offset: 1 << 40, Payload: make([]byte, 70000), Tokens: 300}, {Payload: []byte{1}, Tokens: 24}} {
		var body []byte
		is.NoErr(appendMapBody(&body, d))
		is.True(bytes.Equal(appendData(nil, d), body))
		var got, want Data
		is.True(decodeData(body, &got))
		is.NoErr(decMode.Unmarshal(body, &want))
		is.True(reflect.DeepEqual(got, want))
	}
}

// Guards against a decoder that fails on fields or message types of a newer peer, or that accepts malformed frames.
func TestDecodeIgnoresUnknownFieldsAndRejectsMalformedFrames(t *testing.T) {
	is := is.New(t)
	var unknownType *UnknownTypeError
	stream, _, err := Decode([]byte{0x83, 5, 0x18, 200, 0xa0})
	is.True(errors.As(err, &unknownType))
	is.Equal(stream, uint64(5))
	_, m, err := Decode([]byte{0x83, 5, byte(TypePong), 0xa2, 1, 3, 0x18, 99, 0x63, 'n', 'e', 'w'})
	is.NoErr(err)
	is.Equal(m, &Pong{Sequence: 3}) // an unknown field is ignored

	var malformed *MalformedError
	deep := append([]byte{0x83, 5, byte(TypePong), 0xa1, 0x18, 99}, bytes.Repeat([]byte{0x81}, maxNesting)...)
	for name, frame := range map[string][]byte{
		"nesting":   append(deep, 0),
		"array":     {0x83, 5, byte(TypeState), 0xa1, 4, 0x9b, 0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff},
		"bytes":     {0x83, 5, byte(TypeGossip), 0xa1, 1, 0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"truncated": {0x83, 5, byte(TypePong), 0xa1, 1},
		"trailing":  {0x83, 5, byte(TypePong), 0xa1, 1, 3, 0},
		"duplicate": {0x83, 5, byte(TypePong), 0xa2, 1, 3, 1, 4},
		"null":      {0x83, 5, byte(TypePong), 0xf6},
		"no body":   {0x83, 5, byte(TypePong)},
	} {
		stream, _, err := Decode(frame)
		if !errors.As(err, &malformed) || !malformed.StreamKnown || stream != 5 {
			t.Errorf("%s: got stream %d and error %v", name, stream, err)
		}
	}
	for _, frame := range [][]byte{nil, {0x83}, {0x83, 5}, {0x84, 5, 12, 0xa0, 0}, {0x83, 0x1f, 12, 0xa0}, {0x83, 0x20, 12, 0xa0}} {
		_, _, err := Decode(frame)
		is.True(errors.As(err, &malformed))
		is.True(!malformed.StreamKnown)
	}
	var tooLarge *TooLargeError
	_, err = Encode(5, &Gossip{Payload: make([]byte, MaxMessageBytes)})
	is.True(errors.As(err, &tooLarge))
}

// Guards against input that makes the decoder panic or exceed its memory limits, and against a message that changes when
// it is encoded and decoded again. The seeds also run as a plain test.
func FuzzDecode(f *testing.F) {
	for _, m := range samples() {
		frame, err := Encode(77, m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
		f.Add(frame[:len(frame)/2])
		f.Add(append(bytes.Clone(frame), 0))
	}
	f.Add([]byte{0x83, 5, 0x18, 200, 0xa0})
	f.Add(bytes.Repeat([]byte{0x83}, 100))
	f.Fuzz(func(t *testing.T, data []byte) {
		stream, m, err := Decode(data)
		if err != nil {
			return
		}
		frame, err := Encode(stream, m)
		if err != nil {
			t.Fatalf("decoded message cannot be encoded: %v", err)
		}
		_, again, err := Decode(frame)
		if err != nil {
			t.Fatalf("encoded message cannot be decoded: %v", err)
		}
		if !reflect.DeepEqual(m, again) && !hasNaN(m) {
			t.Fatalf("%#v became %#v", m, again)
		}
	})
}

// hasNaN reports whether a message contains NaN, which is not equal to itself.
func hasNaN(m Message) bool {
	load, _ := m.(*Load)
	end, _ := m.(*End)
	return load != nil && load.KVUsed != load.KVUsed || end != nil && end.Load != nil && end.Load.KVUsed != end.Load.KVUsed
}

// BenchmarkData measures the encoding and decoding of a streamed token, by far the most frequent message.
func BenchmarkData(b *testing.B) {
	m := &Data{Offset: 1000, Payload: bytes.Repeat([]byte("x"), 120), Tokens: 1}
	frame, err := Encode(12345, m)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		buffer := make([]byte, 0, 1024)
		for b.Loop() {
			if _, err := AppendFrame(buffer, 12345, m); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, _, err := Decode(frame); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// Guards against a load report of more than 60 bytes, the size on which the design bases the traffic budget of an entry
// instance with 300 agents, and against a share that its encoding changes.
func TestLoadReportFitsIn60Bytes(t *testing.T) {
	is := is.New(t)
	load := fleet.Load{Server: "norte-engine-1", Incarnation: 1_780_000_000_000_000_000, Sequence: 40_000, Running: 11, Limit: 32,
		TimeToFirstToken: 412_345_678, InterTokenLatency: 27_654_321, Phase: fleet.PhaseServing}
	data, err := Encode(0, &Load{Load: load})
	is.NoErr(err)
	is.True(len(data) <= 60)
	for _, share := range []float64{0, 0.5, 0.1, 1.0 / 3, 1} {
		load.KVUsed = share
		data, err := Encode(0, &Load{Load: load})
		is.NoErr(err)
		_, m, err := Decode(data)
		is.NoErr(err)
		is.Equal(m.(*Load).KVUsed, share)
	}
}
