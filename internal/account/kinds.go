package account

// Kind is the type of an entry.
type Kind string

// Kinds of entry.
const (
	NoteAccepted        Kind = "note_accepted"
	NoteRefused         Kind = "note_refused"
	DataCentreEvacuated Kind = "centre_out"
	DataCentreRestored  Kind = "centre_in"
	ServerAnnounced     Kind = "server_announced"
	ServerLost          Kind = "server_lost"
	ServerReturned      Kind = "server_returned"
	ServerWithdrawn     Kind = "server_withdrawn"
	ServerCold          Kind = "server_cold"
	ServerWarm          Kind = "server_warm"
	ServerDeviates      Kind = "server_deviates"
	ServerConforms      Kind = "server_conforms"
	RankSlow            Kind = "rank_slow"
	RankRecovered       Kind = "rank_recovered"
	InstanceLost        Kind = "instance_lost"
	InstanceReturned    Kind = "instance_returned"
	LinkDegraded        Kind = "link_degraded"
	LinkRecovered       Kind = "link_recovered"
	MajorityLost        Kind = "majority_lost"
	MajorityRegained    Kind = "majority_regained"
	LeaderChanged       Kind = "leader_changed"
	DiskFailed          Kind = "disk_failed"
	DiskRecovered       Kind = "disk_recovered"
	KeysFull            Kind = "keys_full"
	KeysFree            Kind = "keys_free"
	OutcomeUnknown      Kind = "outcome_unknown"
	OutcomeFound        Kind = "outcome_found"
	RequestsRefused     Kind = "requests_refused"
	RequestsRetried     Kind = "requests_retried"
	StreamsResumed      Kind = "streams_resumed"
	WorkMoved           Kind = "work_moved"
	MapChanged          Kind = "map_changed"
	MapAborted          Kind = "map_aborted"
	DrainStarted        Kind = "drain_started"
	DrainEnded          Kind = "drain_ended"
	AccountNotWritten   Kind = "account_not_written"
	AccountWritten      Kind = "account_written"
	EntriesDropped      Kind = "entries_dropped"
	RequestsUnknown     Kind = "requests_unknown"
	ClaimsRefused       Kind = "claims_refused"
	VoterAdmitted       Kind = "voter_admitted"
	NotReady            Kind = "not_ready"
	Ready               Kind = "ready"
)

// class distinguishes events, which the system observed, from actions, which it took.
type class uint8

const (
	event class = iota
	action
)

// description is the presentation of a kind on the account page.
type description struct {
	class    class
	title    string
	closes   Kind   // kind whose condition of the same subject this kind closes
	nextStep string // advice while the condition is open; empty if the kind opens no condition
}

// descriptions contains all kinds. An entry whose kind has a nextStep opens a condition of its subject.
var descriptions = map[Kind]description{
	NoteAccepted:        {action, "release note accepted", "", ""},
	NoteRefused:         {event, "release note refused", "", ""},
	DataCentreEvacuated: {event, "data centre taken out", "", "bring it back with 'banyanfront datacentre in' when it is ready"},
	DataCentreRestored:  {event, "data centre brought back", DataCentreEvacuated, ""},
	ServerAnnounced:     {event, "server announced itself", ServerLost, ""},
	ServerLost:          {event, "server lost", "", "look at its instance; if it is not to come back, withdraw it in a release note"},
	ServerReturned:      {event, "server returned", ServerLost, ""},
	ServerWithdrawn:     {action, "server withdrawn", ServerLost, ""},
	ServerCold:          {event, "server turned cold", "", "look at its time to first token; restart it if it does not warm up"},
	ServerWarm:          {event, "server warm again", ServerCold, ""},
	ServerDeviates:      {event, "server differs from the release notes", "", "correct the server, or state what it serves in a release note"},
	ServerConforms:      {event, "server matches the release notes", ServerDeviates, ""},
	RankSlow:            {event, "slow rank", "", "look at its accelerator and network; the group runs at its pace"},
	RankRecovered:       {event, "rank recovered", RankSlow, ""},
	InstanceLost:        {event, "entry instance lost", "", "start it again or replace it; the others carry its share"},
	InstanceReturned:    {event, "entry instance returned", InstanceLost, ""},
	LinkDegraded:        {event, "link degraded", "", "look at the network between the two instances"},
	LinkRecovered:       {event, "link recovered", LinkDegraded, ""},
	MajorityLost:        {event, "no majority of voters", "", "bring a voter back or heal the network; until then orders and notes are refused"},
	MajorityRegained:    {event, "majority of voters again", MajorityLost, ""},
	LeaderChanged:       {action, "new leader elected", "", ""},
	DiskFailed:          {event, "disk failed", "", "free space, or replace a disk that keeps failing; the instance does not vote until its disk works"},
	DiskRecovered:       {event, "disk works again", DiskFailed, ""},
	KeysFull:            {event, "no room for key records", "", "find out which organisation sends so many orders; room returns as records reach 24 h"},
	KeysFree:            {event, "room for key records again", KeysFull, ""},
	OutcomeUnknown:      {event, "outcome of an order unknown", "", "ask the organisation whether the order was carried out before it is sent again"},
	OutcomeFound:        {action, "outcome of an order found", OutcomeUnknown, ""},
	RequestsRefused:     {action, "requests refused as not run", "", ""},
	RequestsRetried:     {action, "requests retried elsewhere", "", ""},
	StreamsResumed:      {action, "streams resumed", "", ""},
	WorkMoved:           {action, "work moved", "", ""},
	MapChanged:          {action, "expert map changed", "", ""},
	MapAborted:          {action, "expert map change aborted", "", ""},
	DrainStarted:        {action, "graceful stop started", "", ""},
	DrainEnded:          {action, "graceful stop ended", "", ""},
	AccountNotWritten: {event, "account not written to disk", "",
		"free space in the data folder; entries are kept in memory only and are lost at a restart"},
	AccountWritten:  {event, "account written to disk again", AccountNotWritten, ""},
	EntriesDropped:  {event, "entries left out of the account because the disk was too slow", "", ""},
	RequestsUnknown: {event, "outcome of requests unknown", "", ""},
	ClaimsRefused:   {action, "claims of idempotency keys refused", "", ""},
	VoterAdmitted:   {action, "voter taken in", "", ""},
	NotReady:        {event, "instance not ready", "", "look at the reason; callers are sent to other instances meanwhile"},
	Ready:           {event, "instance ready again", NotReady, ""},
}
