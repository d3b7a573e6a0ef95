package byconfig

import (
	"encoding/hex"
	"fmt"
	"net"
	"time"

	"burdockyard"
)

const (
	minKeyBytes = 16
	maxTime     = 24 * time.Hour
)

// Settings are one node's settings.
type Settings struct {
	Node       string        `yaml:"node"`        // name, the same over restarts
	Domain     string        `yaml:"domain"`      // failure domain
	CallerAddr string        `yaml:"caller_addr"` // host:port for callers
	PeerAddr   string        `yaml:"peer_addr"`   // host:port for other nodes
	Platform   string        `yaml:"platform"`    // base URL of the table, objects and VM list
	Peers      []string      `yaml:"peers"`       // peer addresses to begin with
	ResumeKey  string        `yaml:"resume_key"`  // hex, the same on every node
	LogLevel   string        `yaml:"log_level"`   // debug, info, warn or error
	AddressTTL time.Duration `yaml:"address_ttl"` // how long callers keep an address
	StopGrace  time.Duration `yaml:"stop_grace"`  // how long a stop waits for open calls
	LeaseTTL   time.Duration `yaml:"lease_ttl"`
	LeaseSlack time.Duration `yaml:"lease_margin"`
	Transit    time.Duration `yaml:"order_transit"` // bound on an order's way to an engine
}

// DefaultSettings returns the settings that a file may leave out.
func DefaultSettings() Settings {
	return Settings{
		LogLevel: "info", AddressTTL: 10 * time.Second, StopGrace: 5 * time.Minute,
		LeaseTTL: 6 * time.Second, LeaseSlack: 2 * time.Second, Transit: 5 * time.Second,
	}
}

// Key returns the bytes of the resume key.
func (s Settings) Key() []byte {
	key, err := hex.DecodeString(s.ResumeKey)
	if err != nil {
		return nil // LoadSettings has refused it
	}
	return key
}

// Member returns the identity of a process with these settings.
func (s Settings) Member(inc burdockyard.Incarnation) burdockyard.Member {
	return burdockyard.Member{Node: burdockyard.NodeID(s.Node), Incarnation: inc, Addr: s.PeerAddr}
}

// LoadSettings reads and checks a node's settings. Its mistakes are Mistakes.
func LoadSettings(file string) (Settings, error) {
	s := DefaultSettings()
	d, err := load(file, &s)
	if err != nil {
		return s, err
	}
	if len(d.mistakes) == 0 {
		d.checkSettings(s)
	}
	return s, d.err()
}

func (d *document) checkSettings(s Settings) {
	d.required("node", s.Node)
	d.required("domain", s.Domain)
	d.required("platform", s.Platform)
	d.hostPort("caller_addr", s.CallerAddr)
	d.hostPort("peer_addr", s.PeerAddr)
	for i, p := range s.Peers {
		d.hostPort(fmt.Sprintf("peers[%d]", i), p)
	}
	if key, err := hex.DecodeString(s.ResumeKey); err != nil || len(key) < minKeyBytes {
		d.addAt("resume_key", "not a key", fmt.Sprintf("write at least %d hex digits, the same on every node", 2*minKeyBytes))
	}
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		d.addAt("log_level", fmt.Sprintf("%q is not allowed", s.LogLevel), "use debug, info, warn or error")
	}
	d.positive("address_ttl", s.AddressTTL)
	d.positive("stop_grace", s.StopGrace)
	d.positive("lease_ttl", s.LeaseTTL)
	d.positive("lease_margin", s.LeaseSlack)
	d.positive("order_transit", s.Transit)
}

func (d *document) required(path, value string) {
	if value == "" {
		d.addAt(path, "the field is missing", "write "+path+": and its value")
	}
}

func (d *document) hostPort(path, value string) {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		d.addAt(path, fmt.Sprintf("%q is not an address", value), "use an IP number and a port, such as 10.0.0.1:8080")
	}
}

func (d *document) positive(path string, v time.Duration) {
	if v <= 0 || v > maxTime {
		d.addAt(path, fmt.Sprintf("%s is out of range", v), fmt.Sprintf("use more than 0s, up to %s", maxTime))
	}
}
