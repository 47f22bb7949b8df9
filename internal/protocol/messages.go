// Package protocol defines the messages between the processes of the system and their CBOR encoding. Entry instances,
// agents and control instances exchange them over WebSocket sessions (package transport).
package protocol

import (
	"github.com/banyanfront/banyanfront/decide/controlstate"
	"github.com/banyanfront/banyanfront/decide/experts"
	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/quarantine"
	"github.com/banyanfront/banyanfront/decide/registry"
)

// MaxMessageBytes is the maximum size of one encoded message. A request that does not fit is refused as too large.
const MaxMessageBytes = 1 << 20

// Version is the protocol version that both sides of a session must share.
const Version = 1

// Message is a message of the inner protocol.
type Message interface {
	Type() Type
}

// Type identifies the type of a message on the wire.
type Type uint8

// Message types. Numbers are part of the wire format and never reused.
const (
	TypeHello                Type = 1
	TypeAnnounce             Type = 2
	TypeLoad                 Type = 3
	TypeOpen                 Type = 4
	TypeHead                 Type = 5
	TypeData                 Type = 6
	TypeCredit               Type = 7
	TypeEnd                  Type = 8
	TypeCancel               Type = 9
	TypeInquire              Type = 10
	TypeInquiryResult        Type = 11
	TypePing                 Type = 12
	TypePong                 Type = 13
	TypeGoAway               Type = 14
	TypeRoster               Type = 15
	TypeConsensus            Type = 16
	TypePropose              Type = 17
	TypeProposed             Type = 18
	TypeState                Type = 19
	TypeSummary              Type = 20
	TypeGossip               Type = 21
	TypeOrder                Type = 22
	TypeOrderDone            Type = 23
	TypeFounding             Type = 24
	TypeJoin                 Type = 25
	TypeDataCentres          Type = 26
	TypeRelayedAnnouncements Type = 27
	TypeControlInstances     Type = 28
	TypeRank                 Type = 29
	TypeRankOrder            Type = 30
	TypeRankDone             Type = 31
	TypeGroupLoads           Type = 32
	TypePromptParts          Type = 33
	TypeServerLimits         Type = 34
	TypePermitRequest        Type = 35
	TypePermits              Type = 36
)

// Hello is the first message in both directions of a session.
type Hello struct {
	Version     int               `cbor:"1,keyasint"`
	Instance    fleet.InstanceID  `cbor:"2,keyasint"`
	Incarnation fleet.Incarnation `cbor:"3,keyasint"`
	DataCentre  fleet.DataCentre  `cbor:"4,keyasint"`
	Agent       bool              `cbor:"5,keyasint,omitempty"` // the sender is an agent, otherwise an entry instance
	Address     string            `cbor:"6,keyasint,omitempty"` // address by which entry instances reach the sender
	Revision    uint64            `cbor:"7,keyasint,omitempty"` // newest agreed state that the sender has received
	Rank        bool              `cbor:"8,keyasint,omitempty"` // the sender is a rank process (see Rank)
}

// Announce carries the announcement of the backend server beside an agent.
type Announce struct {
	fleet.Announcement
}

// Load carries a load report.
type Load struct {
	fleet.Load
}

// Roster lists for an agent the entry instances of its data centre to connect to, and gives the newest agreed state that
// concerns it.
type Roster struct {
	Addresses []string `cbor:"1,keyasint"`
	Revision  uint64   `cbor:"2,keyasint"`
	Draining  bool     `cbor:"3,keyasint,omitempty"` // the server must accept no new requests
	Fencing   uint64   `cbor:"4,keyasint,omitempty"` // fencing token; orders with a lower one are refused
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
	Incarnation  fleet.Incarnation  `cbor:"4,keyasint"`           // incarnation of the agent that the attempt is meant for
	Method       string             `cbor:"5,keyasint"`
	Path         string             `cbor:"6,keyasint"` // path and query at the backend server
	Headers      []Header           `cbor:"7,keyasint,omitempty"`
	Body         []byte             `cbor:"8,keyasint,omitempty"`
	Priority     fleet.Priority     `cbor:"9,keyasint,omitempty"`
	DeadlineMS   int64              `cbor:"10,keyasint"`           // milliseconds until the deadline of the request
	ResumeFrom   uint64             `cbor:"11,keyasint,omitempty"` // number of tokens that the caller has already received
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

// Data carries a part of an answer. For streamed completions it contains whole server-sent events.
type Data struct {
	Offset  uint64 `cbor:"1,keyasint"` // tokens sent before this part; bytes if the answer is no streamed completion
	Payload []byte `cbor:"2,keyasint"`
	Tokens  int    `cbor:"3,keyasint,omitempty"`
}

// Credit allows the peer to send this many more bytes of Data on a stream.
type Credit struct {
	Bytes int `cbor:"1,keyasint"`
}

// Outcome is the result of an attempt.
type Outcome uint8

// Outcomes of an attempt. OutcomeUnknown means that it may have run or not.
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
	Kind         string      `cbor:"5,keyasint,omitempty"` // kind of the problem document, set between entry instances only
}

// Cancel aborts a stream: the answer is no longer needed.
type Cancel struct {
	Reason string `cbor:"1,keyasint,omitempty"`
}

// Inquire asks an agent for the outcome of an attempt. An agent that has no record of the attempt in the given
// incarnation prevents it from running later.
type Inquire struct {
	Attempt     string            `cbor:"1,keyasint"`
	Incarnation fleet.Incarnation `cbor:"2,keyasint"`
	WantAnswer  bool              `cbor:"3,keyasint,omitempty"` // return the stored answer too
	// Server is the backend server. An entry instance of its data centre uses it to forward the inquiry.
	Server fleet.ServerID `cbor:"4,keyasint,omitempty"`
}

// InquiryResult answers Inquire.
type InquiryResult struct {
	Attempt   string   `cbor:"1,keyasint"`
	Outcome   Outcome  `cbor:"2,keyasint"`
	Status    int      `cbor:"3,keyasint,omitempty"`
	Headers   []Header `cbor:"4,keyasint,omitempty"`
	Body      []byte   `cbor:"5,keyasint,omitempty"`
	HasAnswer bool     `cbor:"6,keyasint,omitempty"` // Status, Headers and Body are the whole stored answer
}

// Ping requests a Pong and reports for how long the sender has received nothing from the peer.
type Ping struct {
	Sequence  uint64 `cbor:"1,keyasint"`
	SilenceMS int64  `cbor:"2,keyasint,omitempty"`
}

// Pong answers Ping.
type Pong struct {
	Sequence uint64 `cbor:"1,keyasint"`
}

// GoAway announces a drain: the sender accepts no new streams on the session and finishes the open ones.
type GoAway struct {
	Reason string `cbor:"1,keyasint,omitempty"`
}

// Consensus carries an encoded consensus message of the replicated log between control instances.
type Consensus struct {
	Payload []byte `cbor:"1,keyasint"`
	From    uint64 `cbor:"2,keyasint,omitempty"` // member identifier of the sender, whose address may not be known yet
}

// Propose asks a control instance to append a command to the replicated log.
type Propose struct {
	ID      string `cbor:"1,keyasint"` // identifies the proposal across retries
	Command []byte `cbor:"2,keyasint"`
}

// Proposed answers Propose.
type Proposed struct {
	ID            string `cbor:"1,keyasint"`
	Index         uint64 `cbor:"2,keyasint,omitempty"`
	Result        []byte `cbor:"3,keyasint,omitempty"`
	RefusalReason string `cbor:"4,keyasint,omitempty"` // why the command was not accepted, empty if it was
	Leader        string `cbor:"5,keyasint,omitempty"` // address of the leader, if known
	Accepted      bool   `cbor:"6,keyasint,omitempty"`
}

// State updates an instance's copy of the agreed state: with a whole view, or with the changes after an index. With Request
// or Report set it contains only an index.
type State struct {
	From     uint64   `cbor:"1,keyasint"`           // index that the receiver must have applied before Entries
	Index    uint64   `cbor:"2,keyasint"`           // index after Snapshot or Entries have been applied
	Snapshot []byte   `cbor:"3,keyasint,omitempty"` // from EncodeView
	Entries  [][]byte `cbor:"4,keyasint,omitempty"` // from EncodeChange
	Request  bool     `cbor:"5,keyasint,omitempty"` // the sender has applied Index and requests the changes after it
	Report   bool     `cbor:"6,keyasint,omitempty"` // the sender reports that it has applied Index and requests nothing
	// Confirm is the number of a question whether Index is the newest one that a majority has agreed on, with Request, and of its
	// answer: a majority has confirmed Index after the question.
	Confirm uint64 `cbor:"7,keyasint,omitempty"`
}

// Summary reports the load of one data centre to another.
type Summary struct {
	Sequence uint64          `cbor:"1,keyasint"`
	Targets  []fleet.Summary `cbor:"2,keyasint"`
}

// Gossip carries an encoded membership message between entry instances.
type Gossip struct {
	Payload []byte `cbor:"1,keyasint"`
}

// Order commands an engine, through its agent, to load or unload a model, adapter or version, or to change its role.
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
	ID            string `cbor:"1,keyasint"`
	RefusalReason string `cbor:"2,keyasint,omitempty"`
}

// Member identifies a member of the agreement group in messages between voters.
type Member struct {
	Instance fleet.InstanceID `cbor:"1,keyasint"`
	ID       uint64           `cbor:"2,keyasint"` // stored in the data folder of the member
	Address  string           `cbor:"3,keyasint"`
}

// Founding is exchanged by voters until the agreement group has been bootstrapped.
type Founding struct {
	Self    Member   `cbor:"1,keyasint"`
	Founded bool     `cbor:"2,keyasint,omitempty"` // the sender's data folder belongs to a group
	Members []Member `cbor:"3,keyasint,omitempty"` // initial members, empty until they are decided
	Pledge  uint64   `cbor:"4,keyasint,omitempty"` // only coordinator whose list may contain the sender; see package bootstrap
}

// Join asks the agreement group to admit a voter whose data folder is new, or whether the group has removed the sender.
type Join struct {
	Member Member `cbor:"1,keyasint"`
	// Removed is set in the leader's answer to a member that the group has removed permanently.
	Removed bool `cbor:"2,keyasint,omitempty"`
	// InGroup is set by a member that belongs to the group by its own log and hears from no leader.
	InGroup bool `cbor:"3,keyasint,omitempty"`
}

// DataCentres carries data centre records that are not in the replicated log yet.
type DataCentres struct {
	Payload []byte `cbor:"1,keyasint"`
}

// RelayedAnnouncement is the announcement of a backend server, with the time since it was received.
type RelayedAnnouncement struct {
	Announcement registry.Announcement `cbor:"1,keyasint"`
	AgeMS        int64                 `cbor:"2,keyasint,omitempty"`
}

// RelayedAnnouncements carries announcements of backend servers without an agent, sent by the control instance that
// received them.
type RelayedAnnouncements struct {
	Servers []RelayedAnnouncement `cbor:"1,keyasint"`
}

// ControlInstances lists the control instances, and reports with how many entry instances the sender has sessions.
type ControlInstances struct {
	Addresses      []string `cbor:"1,keyasint"` // inner addresses
	EntryInstances int      `cbor:"2,keyasint,omitempty"`
	Leader         bool     `cbor:"3,keyasint,omitempty"` // the sender leads the agreement group
	Term           uint64   `cbor:"4,keyasint,omitempty"` // consensus term; of two claimed leaders the higher term is right
	// Coordinators are the agreed coordinators of the lock-step groups, by "service/group". Of two assignments of a group the
	// one with the higher lease is right.
	Coordinators []controlstate.Coordinator `cbor:"5,keyasint,omitempty"`
}

// Rank is the report of a rank process, which runs beside a rank of a lock-step group, about its engine.
type Rank struct {
	Service     string             `cbor:"1,keyasint"`
	Group       string             `cbor:"2,keyasint"`
	Size        int                `cbor:"3,keyasint"` // number of ranks of the group
	Address     string             `cbor:"4,keyasint"` // address of the engine
	StartedAtMS int64              `cbor:"5,keyasint"` // start of the engine's process in Unix milliseconds
	Report      experts.RankReport `cbor:"6,keyasint"`
	// ExpertLoad is the number of times that each expert was chosen by the rank's requests in the time since its last
	// reading, set by set, one byte an expert in units of LoadUnit; empty if none was read for this report. Number 7 was
	// the count since the engine's start.
	ExpertLoad []byte `cbor:"9,keyasint,omitempty"`
	LoadUnit   uint64 `cbor:"10,keyasint,omitempty"`
	// HeldExperts are the experts that the rank holds under the current expert map, by set.
	HeldExperts [][]int `cbor:"8,keyasint,omitempty"`
	Requests    int     `cbor:"11,keyasint,omitempty"` // running and waiting at the engine
}

// GroupLoads carries the loads of the ranks of a lock-step group from its coordinator to the entry instances.
type GroupLoads struct {
	Service string `cbor:"1,keyasint"`
	Group   string `cbor:"2,keyasint"`
	// Requests holds one byte a rank, in order of the ranks: the requests running and waiting there, MaxGroupLoad for that
	// many or more, UnknownGroupLoad for a rank that has not reported recently.
	Requests []byte `cbor:"3,keyasint"`
	// OpenEpoch is the newest epoch in which a rank has reported the group as open, 0 if none has.
	OpenEpoch uint64 `cbor:"4,keyasint,omitempty"`
}

// Special values of GroupLoads.Requests.
const (
	MaxGroupLoad     = 254
	UnknownGroupLoad = 255
)

// ServerLimits carries what backend servers have named as the limit of their requests. An entry instance sends it to all control
// instances, and these send to the other entry instances what is news to them.
type ServerLimits struct {
	Limits []ServerLimit `cbor:"1,keyasint"`
}

// ServerLimit is the requests a second that one incarnation of a server takes from all entry instances together.
type ServerLimit struct {
	Server            string  `cbor:"1,keyasint"`
	StartedAtMillis   int64   `cbor:"2,keyasint"`
	RequestsPerSecond float64 `cbor:"3,keyasint"` // 0 for no limit
}

// PermitRequest asks a control instance for permits: requests that may be sent to those servers of a service that name a limit, or
// suspected requests that are sent one at a time.
type PermitRequest struct {
	Service string `cbor:"1,keyasint"` // or the key of a trial, see quarantine.Tracker.Trial
	Wanted  int    `cbor:"2,keyasint"`
	Limited int    `cbor:"3,keyasint"` // servers of the service that name a limit, as far as the entry instance knows
	// StandsInFor is the number of control instances which the receiver stands in for and which may still grant to others.
	StandsInFor int `cbor:"4,keyasint,omitempty"`
}

// Permits answers PermitRequest.
type Permits struct {
	Service string `cbor:"1,keyasint"`
	// Servers names one server for each permit.
	Servers []string `cbor:"2,keyasint,omitempty"`
	// RetryAfterMS is the estimated time until more requests can be served, 0 if all that was wanted is granted.
	RetryAfterMS int64 `cbor:"3,keyasint,omitempty"`
	// Outdated states that the control instance knows fewer limits than the entry instance, which should send them.
	Outdated bool `cbor:"4,keyasint,omitempty"`
}

// PromptParts tells what an entry instance has learned about parts of prompts that may crash the engines of a service. An
// entry instance sends it to all control instances, and these send to the other entry instances what is news to them.
type PromptParts struct {
	Service string `cbor:"1,keyasint"`
	// Ended is an engine that ended while requests with the parts were open whose answers had not begun.
	Ended *EndedEngine `cbor:"2,keyasint,omitempty"`
	// Suspected holds what is known of suspected and quarantined parts. It is sent to an instance that may not know it.
	Suspected []PartSuspicion `cbor:"3,keyasint,omitempty"`
	// Answered holds parts that were suspected, and for which an answer vouches.
	Answered []string `cbor:"4,keyasint,omitempty"`
}

// EndedEngine is an engine that has ended.
type EndedEngine struct {
	Server          string   `cbor:"1,keyasint"`
	StartedAtMillis int64    `cbor:"2,keyasint"`
	Parts           []string `cbor:"3,keyasint"`
	AgeMS           float64  `cbor:"4,keyasint,omitempty"` // time since the end
	OpenMS          float64  `cbor:"5,keyasint,omitempty"` // time for which a request with the parts had been open there
	AtStake         float64  `cbor:"6,keyasint,omitempty"` // requests that such an end costs, as the sender estimates
	Answering       bool     `cbor:"7,keyasint,omitempty"` // events of the answer had come
}

// PartSuspicion is a quarantine.Suspicion, with times relative to the sending of the message.
type PartSuspicion struct {
	Part           string              `cbor:"1,keyasint"`
	Ends           int                 `cbor:"2,keyasint"`
	LastEndAgeMS   int64               `cbor:"3,keyasint"`
	RemainingMS    int64               `cbor:"4,keyasint,omitempty"` // of the quarantine
	Quarantines    int                 `cbor:"5,keyasint,omitempty"`
	AnsweredBefore bool                `cbor:"6,keyasint,omitempty"`
	Engines        []quarantine.Engine `cbor:"7,keyasint"`
	With           []string            `cbor:"8,keyasint,omitempty"`
	UnansweredEnds int                 `cbor:"9,keyasint,omitempty"`
}

// RankOrder asks a rank process to send an order to its engine.
type RankOrder struct {
	Group string            `cbor:"1,keyasint"`
	Order experts.RankOrder `cbor:"2,keyasint"`           // without its map
	Map   []byte            `cbor:"3,keyasint,omitempty"` // experts.RankLists.Encode, encoded once for all ranks of a group
}

// RankDone answers RankOrder.
type RankDone struct {
	Group  string              `cbor:"1,keyasint"`
	Order  experts.RankOrder   `cbor:"2,keyasint"` // the order without its map
	Result experts.OrderResult `cbor:"3,keyasint"`
}
