package settings

import (
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// Agent holds the settings of an agent (banyanagent serve).
type Agent struct {
	// Instance is the identifier of this agent, unique in the whole system and kept across restarts. No default.
	Instance fleet.InstanceID `json:"instance" required:"true" check:"identifier"`
	// Server is the identifier of the agent's backend server. Default is instance.
	Server fleet.ServerID `json:"server" check:"identifier"`
	// DataCentre is the data centre of the server. No default.
	DataCentre fleet.DataCentre `json:"dataCentre" required:"true" check:"identifier"`
	// Region is the region of the data centre. Default empty.
	Region string `json:"region" check:"identifier"`
	// FrontAddresses are inner addresses of entry instances of the data centre, for the first connection. No default.
	FrontAddresses []string `json:"frontAddresses" required:"true" check:"address"`
	// FleetKey is the secret shared by all processes of the system, at least 16 characters. No default; exactly one of
	// fleetKey and fleetKeyFile is needed.
	FleetKey string `json:"fleetKey" check:"key"`
	// FleetKeyFile is a file with the fleet key, relative to the settings file. Default empty.
	FleetKeyFile string `json:"fleetKeyFile"`
	// TLS names the certificate authority that verifies the certificates of entry instances.
	TLS AgentTLS `json:"tls"`
	// Plaintext allows sessions without TLS to addresses that are not loopback. Default false.
	Plaintext bool `json:"plaintext" default:"false"`
	// Backend describes the agent's backend server. No default.
	Backend Backend `json:"backend" required:"true"`
	// FirstTokenBound is the maximum time to first token at which the concurrency limit still grows. Default 1.1s.
	FirstTokenBound time.Duration `json:"firstTokenBound" default:"1.1s" min:"1ms" max:"10m"`
	// KeepAnswers is the memory for stored answers of finished requests with an idempotency key. Default 16MiB.
	KeepAnswers Bytes `json:"keepAnswers" default:"16MiB" min:"0" max:"4GiB"`
	// KeepAnswersFor is the retention time of a stored answer. Default 10m.
	KeepAnswersFor time.Duration `json:"keepAnswersFor" default:"10m" min:"1s" max:"24h"`
	// ReportInterval is the interval of the checks whether the load has changed enough to be reported. Default 2s.
	ReportInterval time.Duration `json:"reportInterval" default:"2s" min:"100ms" max:"1m"`
	// MetricsListen is the address and port of /metrics, /healthz and /readyz. Default "127.0.0.1:7072".
	MetricsListen string `json:"metricsListen" default:"127.0.0.1:7072" check:"listen"`
	// DrainTimeout is the maximum time that in-flight requests get to finish during a drain. Default 5m.
	DrainTimeout time.Duration `json:"drainTimeout" default:"5m" min:"0s" max:"24h"`
	// LogLevel is the lowest severity that is logged: debug, info, warn or error. Default info.
	LogLevel string `json:"logLevel" default:"info" oneof:"debug|info|warn|error"`
	// LogFormat is the format of log lines: text or json. Default text.
	LogFormat string `json:"logFormat" default:"text" oneof:"text|json"`
}

// AgentTLS names certificate files in PEM form, relative to the settings file.
type AgentTLS struct {
	// CAFile is the certificate authority that verifies the certificates of entry instances. Default empty: the
	// certificate authorities of the operating system.
	CAFile string `json:"caFile"`
}

// Kinds of a backend server in settings.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Backend describes the backend server of an agent.
type Backend struct {
	// URL is the base URL at which the agent reaches the server. No default.
	URL string `json:"url" required:"true" check:"url"`
	// Kind is engine or service. No default.
	Kind string `json:"kind" required:"true" oneof:"engine|service"`
	// Service is the name of the service; required for kind service and only allowed there. Default empty.
	Service string `json:"service" check:"identifier"`
	// Models are the models that the engine has loaded; required for kind engine and only allowed there. Default empty.
	Models []BackendModel `json:"models"`
	// Role is the phase of inference that the engine serves: prefill, decode, or mixed for both. Default mixed.
	Role string `json:"role" default:"mixed" oneof:"mixed|prefill|decode"`
	// Capacity is the declared number of requests that the server can serve concurrently. No default.
	Capacity int `json:"capacity" required:"true" min:"1" max:"100000"`
	// Resumes states that the engine can resume a stream at a given token. Default false.
	Resumes bool `json:"resumes" default:"false"`
	// ChecksFencing states that the engine refuses commands with an outdated fencing token. Default false.
	ChecksFencing bool `json:"checksFencing" default:"false"`
	// Group is the lock-step group of which the engine is a rank. Default empty: none.
	Group string `json:"group" check:"identifier"`
	// Rank is the engine's rank within group, from 0. Default 0.
	Rank int `json:"rank" default:"0" min:"0" max:"65535"`
	// Ranks is the number of ranks in group. Default 0: no group.
	Ranks int `json:"ranks" default:"0" min:"0" max:"65536"`
}

// BackendModel is a model that an engine has loaded.
type BackendModel struct {
	// Name is the name of the model in callers' requests. No default.
	Name string `json:"name" required:"true" check:"name"`
	// Version is the version of the model. Default empty.
	Version string `json:"version" check:"name"`
	// Adapters are the names of the adapters that are loaded with the model. Default empty.
	Adapters []string `json:"adapters" check:"name"`
}

// Announcement returns the announcement of the agent's server for the given incarnation.
func (a *Agent) Announcement(incarnation fleet.Incarnation) fleet.Announcement {
	b := &a.Backend
	result := fleet.Announcement{
		Server: a.Server, Incarnation: incarnation, DataCentre: a.DataCentre, Capacity: b.Capacity, Service: b.Service,
		Group: b.Group, Rank: b.Rank, Ranks: b.Ranks, Resumes: b.Resumes, ChecksFencing: b.ChecksFencing,
	}
	if b.Kind == KindService {
		result.Kind = fleet.KindService
	}
	for _, m := range b.Models {
		result.Models = append(result.Models, fleet.Model{Name: m.Name, Version: m.Version, Adapters: m.Adapters})
	}
	switch b.Role {
	case "prefill":
		result.Role = fleet.RolePrefill
	case "decode":
		result.Role = fleet.RoleDecode
	}
	return result
}
