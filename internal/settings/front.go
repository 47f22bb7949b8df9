package settings

import (
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// Front holds the settings of an entry instance (banyanfront serve).
type Front struct {
	// Instance is the identifier of this entry instance, unique in the whole system and kept across restarts. No default.
	Instance fleet.InstanceID `json:"instance" required:"true" check:"identifier"`
	// DataCentre is the data centre of this instance. No default.
	DataCentre fleet.DataCentre `json:"dataCentre" required:"true" check:"identifier"`
	// Region is the region of the data centre. Default empty.
	Region string `json:"region" check:"identifier"`
	// CallersListen is the address and port that accepts callers' HTTP requests. Default "127.0.0.1:8080".
	CallersListen string `json:"callersListen" default:"127.0.0.1:8080" check:"listen"`
	// InnerListen is the address and port that accepts sessions of agents and other entry instances. Default
	// "127.0.0.1:7070".
	InnerListen string `json:"innerListen" default:"127.0.0.1:7070" check:"listen"`
	// InnerAddress is the IP address and port at which other processes reach innerListen. Default is innerListen, which
	// must then name one IP address.
	InnerAddress string `json:"innerAddress" check:"address"`
	// OperatorsListen is the address and port that accepts requests of the command line. Default "127.0.0.1:7071".
	OperatorsListen string `json:"operatorsListen" default:"127.0.0.1:7071" check:"listen"`
	// DataFolder is the folder for the replicated log, snapshots and the account journal. Default empty: this instance
	// stores nothing on disk and is no control instance.
	DataFolder string `json:"dataFolder"`
	// Voters are the initial members of the agreement group: 1, 3 or 5, the same list on every instance. No default.
	Voters []Voter `json:"voters" required:"true"`
	// Peers are inner addresses of other entry instances, for the first connection. Default empty.
	Peers []string `json:"peers" check:"address"`
	// FleetKey is the secret shared by all processes of the system, at least 16 characters. No default; exactly one of
	// fleetKey and fleetKeyFile is needed.
	FleetKey string `json:"fleetKey" check:"key"`
	// FleetKeyFile is a file with the fleet key, relative to the settings file. Default empty.
	FleetKeyFile string `json:"fleetKeyFile"`
	// Organisations are the organisations that may send requests. Default empty: all requests are refused as unauthorised.
	Organisations []Organisation `json:"organisations"`
	// TLS names the certificate of all listeners and the certificate authority of inner sessions. Default empty.
	TLS TLS `json:"tls"`
	// Plaintext allows listeners without TLS on addresses that are not loopback. Default false.
	Plaintext bool `json:"plaintext" default:"false"`
	// DefaultDeadline is the time from arrival to deadline for a request that sets no deadline. Default 30s.
	DefaultDeadline time.Duration `json:"defaultDeadline" default:"30s" min:"100ms" max:"24h"`
	// MaxBodyBytes is the maximum size of a request body. Default 960KiB, since body, path and headers share a message of
	// 1 MiB.
	MaxBodyBytes Bytes `json:"maxBodyBytes" default:"960KiB" min:"1KiB" max:"1008KiB"`
	// Memory is the memory that the process may use. A third of it is for the bodies and answers of callers. Default 0B: that of the
	// machine or its control group.
	Memory Bytes `json:"memory" default:"0B" min:"0B" max:"1048576GiB"`
	// QueueMax is the maximum number of queued requests of one organisation at this instance. Default 1000.
	QueueMax int `json:"queueMax" default:"1000" min:"1" max:"1000000"`
	// RetryBudget is the maximum share of retries and hedges in all attempts, from 0 to 1. Default 0.1.
	RetryBudget float64 `json:"retryBudget" default:"0.1" min:"0" max:"1"`
	// DrainTimeout is the maximum time that in-flight requests get to finish during a drain. Default 5m.
	DrainTimeout time.Duration `json:"drainTimeout" default:"5m" min:"0s" max:"24h"`
	// LogLevel is the lowest severity that is logged: debug, info, warn or error. Default info.
	LogLevel string `json:"logLevel" default:"info" oneof:"debug|info|warn|error"`
	// LogFormat is the format of log lines: text or json. Default text.
	LogFormat string `json:"logFormat" default:"text" oneof:"text|json"`
	// HopCosts are one-way latencies between data centres. Default empty: all other data centres count as equally distant.
	HopCosts []HopCost `json:"hopCosts"`
	// TraceFile is a file for a trace of callers' requests, of at most 64 MiB, relative to the working directory of the
	// process. The trace contains no prompts, keys or bodies. Default empty: nothing is recorded.
	TraceFile string `json:"traceFile"`
}

// Voter is one initial member of the agreement group.
type Voter struct {
	// Instance is the identifier of the voter. No default.
	Instance fleet.InstanceID `json:"instance" required:"true" check:"identifier"`
	// Address is the inner address of the voter. No default.
	Address string `json:"address" required:"true" check:"address"`
}

// Organisation is a customer that may send requests.
type Organisation struct {
	// Name is the name of the organisation in metrics, records and the account. No default.
	Name fleet.Organisation `json:"name" required:"true" check:"identifier"`
	// Key is the bearer key of its callers, at least 16 characters. No default; exactly one of key and keyFile is needed.
	Key string `json:"key" check:"key"`
	// KeyFile is a file with the key, relative to the settings file. Default empty.
	KeyFile string `json:"keyFile"`
	// Weight is its share of capacity relative to the other organisations. Default 1.
	Weight float64 `json:"weight" default:"1" min:"0.001" max:"1000"`
	// MaxConcurrent is the maximum number of its in-flight requests at this instance, 0 for no limit. Default 0.
	MaxConcurrent int `json:"maxConcurrent" default:"0" min:"0" max:"1000000"`
}

// TLS names certificate files in PEM form, relative to the settings file.
type TLS struct {
	// CertFile is the certificate chain of this instance. Default empty.
	CertFile string `json:"certFile"`
	// KeyFile is the private key of the certificate. Default empty.
	KeyFile string `json:"keyFile"`
	// CAFile is the certificate authority that verifies the certificates of inner sessions. Default empty: the
	// certificate authorities of the operating system.
	CAFile string `json:"caFile"`
}

// HopCost is the one-way latency between two data centres, in both directions.
type HopCost struct {
	// From is one data centre. No default.
	From fleet.DataCentre `json:"from" required:"true" check:"identifier"`
	// To is the other data centre. No default.
	To fleet.DataCentre `json:"to" required:"true" check:"identifier"`
	// Milliseconds is the one-way latency in milliseconds. No default.
	Milliseconds float64 `json:"milliseconds" required:"true" min:"0.001" max:"10000"`
}
