// Package protocol defines the messages between the system's own processes and their CBOR encoding. Entry instances,
// agents and control instances exchange them over WebSocket sessions (package transport).
package protocol

import (
	"github.com/banyanfront/banyanfront/decide/experts"
	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/registry"
)

// MaxMessageBytes bounds one encoded message. A larger request body is refused as too large.
const MaxMessageBytes = 1 << 20

// Version is the protocol version that both sides of a session must share.
const Version = 1

// Message is one typed message of the inner protocol.
type Message interface {
	Type() Type
}

// Type tells the messages apart on the wire.
type Type uint8

// Message types. Numbers are part of the wire format and never reused.
const (
	TypeHello     Type = 1
	TypeAnnounce  Type = 2
	TypeLoad      Type = 3
	TypeOpen      Type = 4
	TypeHead      Type = 5
	TypeData      Type = 6
	TypeCredit    Type = 7
	TypeEnd       Type = 8
	TypeCancel    Type = 9
	TypeInquire   Type = 10
	TypeInquiry   Type = 11
	TypePing      Type = 12
	TypePong      Type = 13
	TypeGoAway    Type = 14
	TypeRoster    Type = 15
	TypeConsensus Type = 16
	TypePropose   Type = 17
	TypeProposed  Type = 18
	TypeState     Type = 19
	TypeSummary   Type = 20
	TypeGossip    Type = 21
	TypeOrder     Type = 22
	TypeOrderDone Type = 23
	TypeFounding  Type = 24
	TypeJoin      Type = 25
	TypeCentres   Type = 26
	TypeSightings Type = 27
	TypeControls  Type = 28
	TypeRank      Type = 29
	TypeRankOrder Type = 30
	TypeRankDone  Type = 31
)

// Hello is the first message in both directions of a session.
type Hello struct {
	Version    int               `cbor:"1,keyasint"`
	Instance   fleet.InstanceID  `cbor:"2,keyasint"`
	Boot       fleet.Incarnation `cbor:"3,keyasint"`
	DataCentre fleet.DataCentre  `cbor:"4,keyasint"`
	Agent      bool              `cbor:"5,keyasint,omitempty"` // sent by an agent, else by an entry instance
	Address    string            `cbor:"6,keyasint,omitempty"` // where entry instances reach the sender
	Revision   uint64            `cbor:"7,keyasint,omitempty"` // newest agreed state that the sender has seen
	Rank       bool              `cbor:"8,keyasint,omitempty"` // sent by the process beside a rank of a lock-step group
}

// Announce carries the announcement of the backend server beside an agent.
type Announce struct {
	fleet.Announcement
}

// Load carries a load report.
type Load struct {
	fleet.Load
}

// Roster tells an agent which entry instances of its data centre it should be connected to, and the newest agreed state
// that concerns it.
type Roster struct {
	Addresses []string `cbor:"1,keyasint"`
	Revision  uint64   `cbor:"2,keyasint"`
	Draining  bool     `cbor:"3,keyasint,omitempty"` // the server must take no new work
	Fencing   uint64   `cbor:"4,keyasint,omitempty"` // orders with a lower token are refused
}

// Header is one HTTP header field.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Open starts an attempt on a new stream.
type Open struct {
	Attempt      string             `cbor:"1,keyasint"` // unique identifier of the attempt
	Organisation fleet.Organisation `cbor:"2,keyasint"`
	Key          string             `cbor:"3,keyasint,omitempty"` // idempotency key of a non-idempotent request
	Boot         fleet.Incarnation  `cbor:"4,keyasint"`           // boot number of the agent that the attempt is meant for
	Method       string             `cbor:"5,keyasint"`
	Path         string             `cbor:"6,keyasint"` // path and query at the backend server
	Headers      []Header           `cbor:"7,keyasint,omitempty"`
	Body         []byte             `cbor:"8,keyasint,omitempty"`
	Priority     fleet.Priority     `cbor:"9,keyasint,omitempty"`
	DeadlineMS   int64              `cbor:"10,keyasint"`           // milliseconds left for the request
	ResumeFrom   uint64             `cbor:"11,keyasint,omitempty"` // tokens that the caller already has
	Server       fleet.ServerID     `cbor:"12,keyasint,omitempty"`
	Spill        *Spill             `cbor:"13,keyasint,omitempty"` // set between entry instances only
}

// Spill asks an entry instance of another data centre to choose a backend server.
type Spill struct {
	Kind    fleet.Kind `cbor:"1,keyasint"`
	Name    string     `cbor:"2,keyasint"`
	Adapter string     `cbor:"3,keyasint,omitempty"`
	Version string     `cbor:"4,keyasint,omitempty"`
}

// Head carries the status and headers of an answer.
type Head struct {
	Status  int      `cbor:"1,keyasint"`
	Headers []Header `cbor:"2,keyasint,omitempty"`
}

// Data carries a part of an answer. For streamed completions it holds whole server-sent events.
type Data struct {
	Offset  uint64 `cbor:"1,keyasint"` // tokens sent before this part, or bytes for other answers
	Payload []byte `cbor:"2,keyasint"`
	Tokens  int    `cbor:"3,keyasint,omitempty"`
}

// Credit allows the peer to send more bytes of Data on a stream.
type Credit struct {
	Bytes int `cbor:"1,keyasint"`
}

// Outcome tells how an attempt ended.
type Outcome uint8

// Outcomes of an attempt. OutcomeUnknown means that it may or may not have run.
const (
	OutcomeUnknown Outcome = iota
	OutcomeDone
	OutcomeNotRun
	OutcomeFailed
	OutcomeRunning
)

// End closes a stream with the attempt's outcome.
type End struct {
	Outcome      Outcome     `cbor:"1,keyasint"`
	Reason       string      `cbor:"2,keyasint,omitempty"`
	RetryAfterMS int64       `cbor:"3,keyasint,omitempty"`
	Load         *fleet.Load `cbor:"4,keyasint,omitempty"`
	Kind         string      `cbor:"5,keyasint,omitempty"` // problem kind, set between entry instances
}

// Cancel tells the peer that the answer is no longer wanted.
type Cancel struct {
	Reason string `cbor:"1,keyasint,omitempty"`
}

// Inquire asks an agent what became of an attempt. An agent that has no record of the attempt in the named boot bars it
// from running later.
type Inquire struct {
	Attempt string            `cbor:"1,keyasint"`
	Boot    fleet.Incarnation `cbor:"2,keyasint"`
	Answer  bool              `cbor:"3,keyasint,omitempty"` // the kept answer is wanted too
	// Server names the backend server, so that an entry instance of its data centre can pass the inquiry on.
	Server fleet.ServerID `cbor:"4,keyasint,omitempty"`
}

// Inquiry answers Inquire.
type Inquiry struct {
	Attempt string   `cbor:"1,keyasint"`
	Outcome Outcome  `cbor:"2,keyasint"`
	Status  int      `cbor:"3,keyasint,omitempty"`
	Headers []Header `cbor:"4,keyasint,omitempty"`
	Body    []byte   `cbor:"5,keyasint,omitempty"`
	Kept    bool     `cbor:"6,keyasint,omitempty"` // Body holds the whole answer
}

// Ping asks for a Pong and tells how long ago the sender last heard from the peer.
type Ping struct {
	Sequence  uint64 `cbor:"1,keyasint"`
	SilenceMS int64  `cbor:"2,keyasint,omitempty"`
}

// Pong answers Ping.
type Pong struct {
	Sequence uint64 `cbor:"1,keyasint"`
}

// GoAway announces a planned stop: the sender accepts no new streams on the session and finishes the open ones.
type GoAway struct {
	Reason string `cbor:"1,keyasint,omitempty"`
}

// Consensus carries an encoded message of the replicated log between control instances.
type Consensus struct {
	Payload []byte `cbor:"1,keyasint"`
	From    uint64 `cbor:"2,keyasint,omitempty"` // member identifier of the sender, who may not be known by address yet
}

// Propose asks a control instance to add a command to the replicated log.
type Propose struct {
	ID      string `cbor:"1,keyasint"` // identifies the proposal across retries
	Command []byte `cbor:"2,keyasint"`
}

// Proposed answers Propose.
type Proposed struct {
	ID       string `cbor:"1,keyasint"`
	Index    uint64 `cbor:"2,keyasint,omitempty"`
	Result   []byte `cbor:"3,keyasint,omitempty"`
	Refused  string `cbor:"4,keyasint,omitempty"` // why the command was not accepted, empty if it was
	Leader   string `cbor:"5,keyasint,omitempty"` // address of the leader, if known
	Accepted bool   `cbor:"6,keyasint,omitempty"`
}

// State carries the agreed state to a daemon: a whole snapshot or the entries after an index.
type State struct {
	From     uint64   `cbor:"1,keyasint"` // index that the receiver must hold for Entries to apply
	Index    uint64   `cbor:"2,keyasint"` // index after applying
	Snapshot []byte   `cbor:"3,keyasint,omitempty"`
	Entries  [][]byte `cbor:"4,keyasint,omitempty"`
	Request  bool     `cbor:"5,keyasint,omitempty"` // the sender holds Index and asks for what follows
	Report   bool     `cbor:"6,keyasint,omitempty"` // the sender has Index in force and asks for nothing
}

// Summary carries the load of one data centre to another.
type Summary struct {
	Sequence uint64          `cbor:"1,keyasint"`
	Targets  []fleet.Summary `cbor:"2,keyasint"`
}

// Gossip carries encoded membership and data centre state between entry instances.
type Gossip struct {
	Payload []byte `cbor:"1,keyasint"`
}

// Order tells an engine, through its agent, to load or unload a model, adapter or version, or to change its role.
type Order struct {
	ID      string `cbor:"1,keyasint"`
	Fencing uint64 `cbor:"2,keyasint"`
	Action  string `cbor:"3,keyasint"`
	Model   string `cbor:"4,keyasint,omitempty"`
	Version string `cbor:"5,keyasint,omitempty"`
	Adapter string `cbor:"6,keyasint,omitempty"`
	Role    string `cbor:"7,keyasint,omitempty"`
}

// OrderDone answers Order.
type OrderDone struct {
	ID      string `cbor:"1,keyasint"`
	Refused string `cbor:"2,keyasint,omitempty"`
}

// Member is a member of the agreement group as voters name each other.
type Member struct {
	Instance fleet.InstanceID `cbor:"1,keyasint"`
	ID       uint64           `cbor:"2,keyasint"` // of the member's data folder
	Address  string           `cbor:"3,keyasint"`
}

// Founding is what voters tell each other until the group has been founded.
type Founding struct {
	Self    Member   `cbor:"1,keyasint"`
	Founded bool     `cbor:"2,keyasint,omitempty"` // the sender's data folder belongs to a group
	Members []Member `cbor:"3,keyasint,omitempty"` // founding members, once they are decided
	Pledge  uint64   `cbor:"4,keyasint,omitempty"` // see package founding
}

// Join asks the agreement group to take in a voter whose data folder is new.
type Join struct {
	Member Member `cbor:"1,keyasint"`
	// Removed is set in the leader's answer to a member that the group has removed for good.
	Removed bool `cbor:"2,keyasint,omitempty"`
}

// Centres carries data centre records that are not in the log yet.
type Centres struct {
	Payload []byte `cbor:"1,keyasint"`
}

// Sighting is a backend server's own announcement with the time since it came in.
type Sighting struct {
	Announcement registry.Announcement `cbor:"1,keyasint"`
	AgeMS        int64                 `cbor:"2,keyasint,omitempty"`
}

// Sightings carries announcements of backend servers without an agent from the control instance that received them.
type Sightings struct {
	Servers []Sighting `cbor:"1,keyasint"`
}

// Controls tells which control instances there are, and how many entry instances the sender has sessions with.
type Controls struct {
	Addresses []string `cbor:"1,keyasint"` // inner addresses
	Entries   int      `cbor:"2,keyasint,omitempty"`
	Leader    bool     `cbor:"3,keyasint,omitempty"` // the sender leads the agreement group
	Term      uint64   `cbor:"4,keyasint,omitempty"` // of the group; of two leaders the one with the higher term counts
}

// Rank carries what the process beside a rank of a lock-step group has read from its engine.
type Rank struct {
	Service string             `cbor:"1,keyasint"`
	Group   string             `cbor:"2,keyasint"`
	Size    int                `cbor:"3,keyasint"` // ranks of the group
	Address string             `cbor:"4,keyasint"` // of the engine
	Born    int64              `cbor:"5,keyasint"` // start of the engine's process, Unix milliseconds
	Report  experts.RankReport `cbor:"6,keyasint"`
	// Picked counts how often the rank's requests have chosen each expert since the engine's start, set by set; empty if it
	// was not read this time.
	Picked []uint64 `cbor:"7,keyasint,omitempty"`
	// Held are the experts that the rank holds under the map in use, by set.
	Held [][]int `cbor:"8,keyasint,omitempty"`
}

// RankOrder asks the process beside a rank to give an order to its engine.
type RankOrder struct {
	Group string            `cbor:"1,keyasint"`
	Order experts.RankOrder `cbor:"2,keyasint"`
}

// RankDone answers RankOrder.
type RankDone struct {
	Group  string              `cbor:"1,keyasint"`
	Order  experts.RankOrder   `cbor:"2,keyasint"` // without the map
	Result experts.OrderResult `cbor:"3,keyasint"`
}
