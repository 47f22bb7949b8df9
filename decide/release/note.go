// Package release defines the release note, a numbered configuration change in which operators state the expected backend
// servers, models, adapters and data centres. It validates notes, applies them to the configuration, and computes which
// recorded uses a withdrawal would cut off.
//
// A note withdraws only what it names. A backend server that announces itself without being listed continues to serve.
package release

import (
	"github.com/banyanfront/banyanfront/decide/fleet"
)

// Limits of one note and of the configuration. They keep an encoded note well below the 1 MiB of a protocol message.
const (
	MaxEntries      = 5000  // entries of each list; one note can name every server of the target size of 4,200
	MaxTextBytes    = 2000  // comment, path prefix, and reason of an evacuation
	MaxNameBytes    = 128   // identifiers and names
	MaxModels       = 64    // models of one server
	MaxAdapters     = 256   // adapters of one model
	MaxWithdrawn    = 10000 // withdrawn servers recorded in the configuration
	MaxCallRules    = 2000
	MaxEncodedBytes = 900 << 10
)

// Note is a release note. The order of list entries has no meaning, but the digest depends on it.
type Note struct {
	Number       uint64            `cbor:"1,keyasint" json:"number" required:"true" min:"1"`
	Author       string            `cbor:"2,keyasint" json:"author" required:"true" check:"identifier"`
	Comment      string            `cbor:"3,keyasint,omitempty" json:"comment"`
	Servers      ServerChanges     `cbor:"4,keyasint" json:"servers"`
	Models       ModelChanges      `cbor:"5,keyasint" json:"models"`
	Adapters     AdapterChanges    `cbor:"6,keyasint" json:"adapters"`
	DataCentres  DataCentreChanges `cbor:"7,keyasint" json:"dataCentres"`
	Calls        []CallRule        `cbor:"8,keyasint,omitempty" json:"calls"`
	AcceptOutage []Outage          `cbor:"9,keyasint,omitempty" json:"acceptOutage"`
}

// ServerChanges are the changes of backend servers.
type ServerChanges struct {
	Add      []Server         `cbor:"1,keyasint,omitempty" json:"add"`
	Change   []Server         `cbor:"2,keyasint,omitempty" json:"change"`
	Withdraw []fleet.ServerID `cbor:"3,keyasint,omitempty" json:"withdraw" check:"identifier"`
	// Forget removes the records of withdrawn servers that no longer exist. If such a server announces itself again, it
	// serves as an unlisted server.
	Forget []fleet.ServerID `cbor:"4,keyasint,omitempty" json:"forget" check:"identifier"`
}

// Kinds of backend servers and targets in notes.
const (
	KindEngine  = "engine"
	KindService = "service"
	KindModel   = "model"
)

// Server is the expected state of a backend server.
type Server struct {
	ID         fleet.ServerID   `cbor:"1,keyasint" json:"server" required:"true" check:"identifier"`
	DataCentre fleet.DataCentre `cbor:"2,keyasint" json:"dataCentre" required:"true" check:"identifier"`
	Kind       string           `cbor:"3,keyasint" json:"kind" required:"true" oneof:"engine|service"`
	Service    string           `cbor:"4,keyasint,omitempty" json:"service" check:"identifier"`
	Models     []ExpectedModel  `cbor:"5,keyasint,omitempty" json:"models"`
}

// ExpectedModel is a model that an engine is expected to have loaded. An empty version means any version.
type ExpectedModel struct {
	Name     string   `cbor:"1,keyasint" json:"name" required:"true" check:"name"`
	Version  string   `cbor:"2,keyasint,omitempty" json:"version" check:"name"`
	Adapters []string `cbor:"3,keyasint,omitempty" json:"adapters" check:"name"`
}

// ModelChanges are the changes of models.
type ModelChanges struct {
	Add      []Model  `cbor:"1,keyasint,omitempty" json:"add"`
	Change   []Model  `cbor:"2,keyasint,omitempty" json:"change"`
	Withdraw []string `cbor:"3,keyasint,omitempty" json:"withdraw" check:"name"`
}

// Model is a model with its default version, which callers get when they name none.
type Model struct {
	Name    string `cbor:"1,keyasint" json:"name" required:"true" check:"name"`
	Version string `cbor:"2,keyasint,omitempty" json:"version" check:"name"`
}

// AdapterChanges are the changes of adapters.
type AdapterChanges struct {
	Add      []Adapter `cbor:"1,keyasint,omitempty" json:"add"`
	Change   []Adapter `cbor:"2,keyasint,omitempty" json:"change"`
	Withdraw []Adapter `cbor:"3,keyasint,omitempty" json:"withdraw"`
}

// Adapter is an adapter of a model.
type Adapter struct {
	Model   string `cbor:"1,keyasint" json:"model" required:"true" check:"name"`
	Name    string `cbor:"2,keyasint" json:"name" required:"true" check:"name"`
	Version string `cbor:"3,keyasint,omitempty" json:"version" check:"name"`
}

// DataCentreChanges are the changes of data centres. A temporary evacuation is not part of a release note.
type DataCentreChanges struct {
	Add      []DataCentre       `cbor:"1,keyasint,omitempty" json:"add"`
	Change   []DataCentre       `cbor:"2,keyasint,omitempty" json:"change"`
	Withdraw []fleet.DataCentre `cbor:"3,keyasint,omitempty" json:"withdraw" check:"identifier"`
}

// DataCentre is a data centre and its region.
type DataCentre struct {
	Name   fleet.DataCentre `cbor:"1,keyasint" json:"name" required:"true" check:"identifier"`
	Region string           `cbor:"2,keyasint,omitempty" json:"region" check:"identifier"`
}

// CallRule marks the calls to a plain service with a method and path prefix as idempotent or not. The longest prefix
// applies; at equal length a rule with a method takes precedence over one without.
type CallRule struct {
	Service    string `cbor:"1,keyasint" json:"service" required:"true" check:"identifier"`
	Method     string `cbor:"2,keyasint,omitempty" json:"method"` // empty for any method
	PathPrefix string `cbor:"3,keyasint" json:"pathPrefix" required:"true" check:"path"`
	Idempotent bool   `cbor:"4,keyasint" json:"idempotent"`
	Remove     bool   `cbor:"5,keyasint,omitempty" json:"remove"` // removes the rule with this service, method and prefix
}

// Outage accepts that a model or service is left without backend servers.
type Outage struct {
	Kind string `cbor:"1,keyasint" json:"kind" required:"true" oneof:"model|service"`
	Name string `cbor:"2,keyasint" json:"name" required:"true" check:"name"`
}

// AcceptsOutage reports whether the note accepts an outage of the model or service.
func (n *Note) AcceptsOutage(kind fleet.Kind, name string) bool {
	want := KindModel
	if kind == fleet.KindService {
		want = KindService
	}
	for _, o := range n.AcceptOutage {
		if o.Kind == want && o.Name == name {
			return true
		}
	}
	return false
}
