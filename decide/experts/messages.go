package experts

import "github.com/banyanfront/banyanfront/decide/fleet"

// Message is a message between the coordinator of a group and the agents of its ranks.
type Message interface{ isMessage() }

// Load asks a rank to load the weights that a change needs. The map is sent with it or fetched by Change.
type Load struct {
	Change ChangeID `cbor:"1,keyasint"`
}

// Prepare asks a rank that has loaded the weights to promise not to start Step before it has received the decision.
type Prepare struct {
	Change ChangeID `cbor:"1,keyasint"`
	Step   uint64   `cbor:"2,keyasint"`
}

// Decided sends a rank the outcome of a change.
type Decided struct {
	Change    ChangeID `cbor:"1,keyasint"`
	Committed bool     `cbor:"2,keyasint"`
	Step      uint64   `cbor:"3,keyasint"`
}

// Answer is the status of a change at a rank.
type Answer uint8

// Answers of a rank.
const (
	AnswerLoaded   Answer = iota // the weights are loaded
	AnswerPrepared               // promised not to start the step before the decision arrives
	AnswerArmed                  // has received the decision
	AnswerRefused                // cannot take part; Pending names the conflicting promise, if any
	AnswerWaiting                // has reached the step and asks for the decision
)

// Report is a message of a rank about a change. NextStep is one past the highest step that the rank has asked for.
type Report struct {
	Rank        int               `cbor:"1,keyasint"`
	Incarnation fleet.Incarnation `cbor:"2,keyasint"`
	Change      ChangeID          `cbor:"3,keyasint"`
	Answer      Answer            `cbor:"4,keyasint"`
	NextStep    uint64            `cbor:"5,keyasint"`
	Pending     ChangeID          `cbor:"6,keyasint,omitempty"`
}

func (Load) isMessage()    {}
func (Prepare) isMessage() {}
func (Decided) isMessage() {}
func (Report) isMessage()  {}

var (
	_ Message = Load{}
	_ Message = Prepare{}
	_ Message = Decided{}
	_ Message = Report{}
)

// Envelope is a message to one rank.
type Envelope struct {
	Rank    int
	Message Message
}
