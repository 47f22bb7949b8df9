package settings

import (
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// Agent holds the settings of an agent (banyanagent serve).
type Agent struct {
	// Instance is the identifier of this agent, unique in the whole system and kept across restarts. No default.
	Instance fleet.InstanceID `json:"instance" required:"true" check:"identifier"`
	// Server is the identifier of the backend server beside the agent. Default is instance.
	Server fleet.ServerID `json:"server" check:"identifier"`
	// DataCentre is the data centre that the server stands in. No default.
	DataCentre fleet.DataCentre `json:"dataCentre" required:"true" check:"identifier"`
	// Region is the region of the data centre. Default empty.
	Region string `json:"region" check:"identifier"`
	// FrontAddresses are inner addresses of entry instances of the data centre to contact first. No default.
	FrontAddresses []string `json:"frontAddresses" required:"true" check:"address"`
	// FleetKey is the secret that all processes of the system share, at least 16 characters. No default; exactly one of
	// fleetKey and fleetKeyFile is needed.
	FleetKey string `json:"fleetKey" check:"key"`
	// FleetKeyFile is a file with the fleet key, relative to the settings file. Default empty.
	FleetKeyFile string `json:"fleetKeyFile"`
	// TLS names the certificate authority that entry instances are checked against.
	TLS AgentTLS `json:"tls"`
	// Plaintext allows sessions without TLS to addresses that are not loopback. Default false.
	Plaintext bool `json:"plaintext" default:"false"`
	// Backend describes the backend server beside the agent. No default.
	Backend Backend `json:"backend" required:"true"`
	// FirstTokenBound is the time to first token within which the concurrency limit grows. Default 1.1s.
	FirstTokenBound time.Duration `json:"firstTokenBound" default:"1.1s" min:"1ms" max:"10m"`
	// KeepAnswers is the memory for answers of finished keyed requests. Default 16MiB.
	KeepAnswers Bytes `json:"keepAnswers" default:"16MiB" min:"0" max:"4GiB"`
	// KeepAnswersFor is the time for which such an answer is kept. Default 10m.
	KeepAnswersFor time.Duration `json:"keepAnswersFor" default:"10m" min:"1s" max:"24h"`
	// ReportInterval is the time between two checks whether the load has changed enough to be reported. Default 2s.
	ReportInterval time.Duration `json:"reportInterval" default:"2s" min:"100ms" max:"1m"`
	// MetricsListen is the address and port of /metrics, /healthz and /readyz. Default "127.0.0.1:7072".
	MetricsListen string `json:"metricsListen" default:"127.0.0.1:7072" check:"listen"`
	// DrainTimeout is the time for open requests to finish at a planned stop. Default 5m.
	DrainTimeout time.Duration `json:"drainTimeout" default:"5m" min:"0s" max:"24h"`
	// LogLevel is the least severe level that is logged: debug, info, warn or error. Default info.
	LogLevel string `json:"logLevel" default:"info" oneof:"debug|info|warn|error"`
	// LogFormat is the form of log lines: text or json. Default text.
	LogFormat string `json:"logFormat" default:"text" oneof:"text|json"`
}

// AgentTLS names certificate files in PEM form, relative to the settings file.
type AgentTLS struct {
	// CAFile is the certificate authority that entry instances are checked against. Default empty: the system's list.
	CAFile string `json:"caFile"`
}

// Kinds and roles of a backend server as settings name them.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Backend describes the backend server beside an agent.
type Backend struct {
	// URL is where the agent reaches the server. No default.
	URL string `json:"url" required:"true" check:"url"`
	// Kind is engine or service. No default.
	Kind string `json:"kind" required:"true" oneof:"engine|service"`
	// Service is the name of the plain service; needed for kind service only. Default empty.
	Service string `json:"service" check:"identifier"`
	// Models are the models that the engine has loaded; needed for kind engine only. Default empty.
	Models []BackendModel `json:"models"`
	// Role is the part of the work that the engine takes: mixed, prefill or decode. Default mixed.
	Role string `json:"role" default:"mixed" oneof:"mixed|prefill|decode"`
	// Capacity is the number of concurrent requests that the server claims to bear. No default.
	Capacity int `json:"capacity" required:"true" min:"1" max:"100000"`
	// Resumes tells that the engine resumes a stream at a given token. Default false.
	Resumes bool `json:"resumes" default:"false"`
	// ChecksFencing tells that the engine refuses commands with an old fencing token. Default false.
	ChecksFencing bool `json:"checksFencing" default:"false"`
	// Group is the group of ranks in lock-step that the engine belongs to. Default empty: none.
	Group string `json:"group" check:"identifier"`
	// Rank is the engine's rank within group, from 0. Default 0.
	Rank int `json:"rank" default:"0" min:"0" max:"65535"`
	// Ranks is the number of ranks in group. Default 0: no group.
	Ranks int `json:"ranks" default:"0" min:"0" max:"65536"`
}

// BackendModel is a model that an engine has loaded.
type BackendModel struct {
	// Name is the name by which callers ask for the model. No default.
	Name string `json:"name" required:"true" check:"name"`
	// Version is the version of the model. Default empty.
	Version string `json:"version" check:"name"`
	// Adapters are the names of the adapters loaded beside the model. Default empty.
	Adapters []string `json:"adapters" check:"name"`
}

// Announcement returns what the agent announces about its server in the given boot.
func (a *Agent) Announcement(boot fleet.Incarnation) fleet.Announcement {
	b := &a.Backend
	result := fleet.Announcement{
		Server: a.Server, Incarnation: boot, DataCentre: a.DataCentre, Capacity: b.Capacity, Service: b.Service,
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
