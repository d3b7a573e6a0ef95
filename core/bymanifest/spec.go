package bymanifest

import "time"

// Spec is the manifest as it is written in a file. The yaml tags are the names
// in the file, the json tags those in a published section.
type Spec struct {
	Name     string        `yaml:"name" json:"name"`
	Models   []ModelSpec   `yaml:"models" json:"models"`
	Engines  []EngineSpec  `yaml:"engines" json:"engines"`
	Services []ServiceSpec `yaml:"services" json:"services"`
	Classes  []ClassSpec   `yaml:"classes" json:"classes"`
	Tenants  []TenantSpec  `yaml:"tenants" json:"tenants"`
}

// ModelSpec describes a model and what one engine of it does, as a start for
// the estimates that observation then corrects.
type ModelSpec struct {
	Name        string   `yaml:"name" json:"name"`
	Version     string   `yaml:"version" json:"version"`
	Adapters    []string `yaml:"adapters" json:"adapters,omitempty"`
	PrefillRate int      `yaml:"prefill_rate" json:"prefill_rate"` // prompt tokens per second
	DecodeRate  int      `yaml:"decode_rate" json:"decode_rate"`   // output tokens per second, whole batch
	MaxStreams  int      `yaml:"max_streams" json:"max_streams"`   // streams in the batch
	MaxPrompt   int      `yaml:"max_prompt" json:"max_prompt"`     // prompt tokens
}

// EngineSpec describes one model engine.
type EngineSpec struct {
	Name    string `yaml:"name" json:"name"`
	Address string `yaml:"address" json:"address"`
	Model   string `yaml:"model" json:"model"`
	Domain  string `yaml:"domain" json:"domain"`
	Role    string `yaml:"role" json:"role"`       // mixed, prefill or decode
	Fencing bool   `yaml:"fencing" json:"fencing"` // refuses old fencing numbers
	State   string `yaml:"state" json:"state,omitempty"`
}

// ServiceSpec describes a plain service.
type ServiceSpec struct {
	Name       string            `yaml:"name" json:"name"`
	Endpoints  []ServiceEndpoint `yaml:"endpoints" json:"endpoints"`
	Repeatable []CallSpec        `yaml:"repeatable" json:"repeatable,omitempty"`
}

// ServiceEndpoint is one endpoint of a service.
type ServiceEndpoint struct {
	Name    string `yaml:"name" json:"name"`
	Address string `yaml:"address" json:"address"`
	Domain  string `yaml:"domain" json:"domain"`
	State   string `yaml:"state" json:"state,omitempty"`
}

// CallSpec names calls that may be repeated: a method and a path prefix.
type CallSpec struct {
	Method string `yaml:"method" json:"method"`
	Path   string `yaml:"path" json:"path"`
}

// ClassSpec describes a class of calls.
type ClassSpec struct {
	Name       string        `yaml:"name" json:"name"`
	Priority   int           `yaml:"priority" json:"priority"`
	FirstToken time.Duration `yaml:"first_token" json:"first_token"` // how long a caller waits for it
	Deadline   time.Duration `yaml:"deadline" json:"deadline"`       // how long for the whole answer
	Queue      int           `yaml:"queue" json:"queue"`             // calls waiting per node
	Finish     bool          `yaml:"finish" json:"finish"`           // finish without the caller
}

// TenantSpec describes a tenant.
type TenantSpec struct {
	Name    string `yaml:"name" json:"name"`
	Weight  int    `yaml:"weight" json:"weight"`   // share of tokens under contention
	Streams int    `yaml:"streams" json:"streams"` // open calls per node, 0 for no limit
}

// The states of an endpoint in the manifest. An empty state means serving.
const (
	StateServing   = "serving"
	StateDrained   = "drained"
	StateWithdrawn = "withdrawn"
)
