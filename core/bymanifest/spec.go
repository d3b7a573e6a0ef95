package bymanifest

import "time"

// Spec is the content of a manifest file. The yaml tags are the field names in
// the file; the json tags are those in a published section.
type Spec struct {
	Name     string        `yaml:"name" json:"name"`
	Models   []ModelSpec   `yaml:"models" json:"models"`
	Engines  []EngineSpec  `yaml:"engines" json:"engines"`
	Services []ServiceSpec `yaml:"services" json:"services"`
	Classes  []ClassSpec   `yaml:"classes" json:"classes"`
	Tenants  []TenantSpec  `yaml:"tenants" json:"tenants"`
}

// ModelSpec describes a model and the performance of one engine that runs it.
// The rates are initial estimates that measurements later correct.
type ModelSpec struct {
	Name        string   `yaml:"name" json:"name"`
	Version     string   `yaml:"version" json:"version"`
	Adapters    []string `yaml:"adapters" json:"adapters,omitempty"`
	PrefillRate int      `yaml:"prefill_rate" json:"prefill_rate"` // prompt tokens per second of one engine
	DecodeRate  int      `yaml:"decode_rate" json:"decode_rate"`   // output tokens per second, summed over the whole batch
	MaxStreams  int      `yaml:"max_streams" json:"max_streams"`   // concurrent streams in one batch
	MaxPrompt   int      `yaml:"max_prompt" json:"max_prompt"`     // largest number of prompt tokens
}

// EngineSpec describes one model engine.
type EngineSpec struct {
	Name            string `yaml:"name" json:"name"`
	Address         string `yaml:"address" json:"address"`
	Model           string `yaml:"model" json:"model"`
	Domain          string `yaml:"domain" json:"domain"`
	Role            string `yaml:"role" json:"role"`       // mixed, prefill or decode
	EnforcesFencing bool   `yaml:"fencing" json:"fencing"` // whether the engine rejects orders with an outdated fencing number
	State           string `yaml:"state" json:"state,omitempty"`
}

// ServiceSpec describes a plain service, which is one without model engines.
type ServiceSpec struct {
	Name       string            `yaml:"name" json:"name"`
	Endpoints  []ServiceEndpoint `yaml:"endpoints" json:"endpoints"`
	Repeatable []RepeatableCall  `yaml:"repeatable" json:"repeatable,omitempty"`
}

// ServiceEndpoint is one endpoint of a service.
type ServiceEndpoint struct {
	Name    string `yaml:"name" json:"name"`
	Address string `yaml:"address" json:"address"`
	Domain  string `yaml:"domain" json:"domain"`
	State   string `yaml:"state" json:"state,omitempty"`
}

// RepeatableCall matches calls that may safely be sent more than once, by method
// and path prefix.
type RepeatableCall struct {
	Method string `yaml:"method" json:"method"`
	Path   string `yaml:"path" json:"path"`
}

// ClassSpec describes a class of calls and its limits.
type ClassSpec struct {
	Name                string        `yaml:"name" json:"name"`
	Priority            int           `yaml:"priority" json:"priority"`
	FirstToken          time.Duration `yaml:"first_token" json:"first_token"` // longest wait for the first token
	Deadline            time.Duration `yaml:"deadline" json:"deadline"`       // longest time for the whole response
	MaxQueued           int           `yaml:"queue" json:"queue"`             // largest number of queued calls on one node
	FinishWithoutCaller bool          `yaml:"finish" json:"finish"`           // whether a call runs to its end after the caller has disconnected
}

// TenantSpec describes a tenant and its share of the capacity.
type TenantSpec struct {
	Name         string `yaml:"name" json:"name"`
	Weight       int    `yaml:"weight" json:"weight"`   // relative share of engine tokens under contention
	MaxOpenCalls int    `yaml:"streams" json:"streams"` // largest number of open calls on one node; 0 means no limit
}

// States of an endpoint in the manifest. An empty state means StateServing.
const (
	StateServing   = "serving"
	StateDrained   = "drained"
	StateWithdrawn = "withdrawn"
)
