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
	maxDuration = 24 * time.Hour
)

// Settings are the settings of one node.
type Settings struct {
	Node         string        `yaml:"node"`          // name of the node, unchanged by a restart
	Domain       string        `yaml:"domain"`        // failure domain of the node
	CallerAddr   string        `yaml:"caller_addr"`   // host:port for callers
	PeerAddr     string        `yaml:"peer_addr"`     // host:port for other nodes
	Platform     string        `yaml:"platform"`      // base URL of the table, the object store and the VM list
	Peers        []string      `yaml:"peers"`         // peer addresses to contact at the start
	ResumeKey    string        `yaml:"resume_key"`    // key for resume tokens in hex, the same on every node
	LogLevel     string        `yaml:"log_level"`     // debug, info, warn or error
	AddressTTL   time.Duration `yaml:"address_ttl"`   // how long callers may cache an address
	StopGrace    time.Duration `yaml:"stop_grace"`    // how long a shutdown waits for open calls
	LeaseTTL     time.Duration `yaml:"lease_ttl"`     // how long a renewal extends a lease
	LeaseMargin  time.Duration `yaml:"lease_margin"`  // how long another process waits beyond lease_ttl before taking over
	OrderTransit time.Duration `yaml:"order_transit"` // upper bound on the time an order takes to reach an engine
}

// DefaultSettings returns the values of settings that a file may omit.
func DefaultSettings() Settings {
	return Settings{
		LogLevel: "info", AddressTTL: 10 * time.Second, StopGrace: 5 * time.Minute,
		LeaseTTL: 6 * time.Second, LeaseMargin: 2 * time.Second, OrderTransit: 5 * time.Second,
	}
}

// ResumeKeyBytes returns the decoded resume key, or nil if it is not valid hex.
func (s Settings) ResumeKeyBytes() []byte {
	key, err := hex.DecodeString(s.ResumeKey)
	if err != nil {
		return nil // LoadSettings has rejected it already
	}
	return key
}

// Member returns the cluster member with these settings and the incarnation of
// the process.
func (s Settings) Member(inc burdockyard.Incarnation) burdockyard.Member {
	return burdockyard.Member{Node: burdockyard.NodeID(s.Node), Incarnation: inc, Addr: s.PeerAddr}
}

// LoadSettings reads and validates the settings of a node. If the file has
// problems, the error is of type Problems.
func LoadSettings(file string) (Settings, error) {
	s := DefaultSettings()
	d, err := load(file, &s)
	if err != nil {
		return s, err
	}
	if len(d.problems) == 0 {
		d.checkSettings(s)
	}
	return s, d.err()
}

func (d *document) checkSettings(s Settings) {
	d.checkRequired("node", s.Node)
	d.checkRequired("domain", s.Domain)
	d.checkRequired("platform", s.Platform)
	d.checkHostPort("caller_addr", s.CallerAddr)
	d.checkHostPort("peer_addr", s.PeerAddr)
	for i, p := range s.Peers {
		d.checkHostPort(fmt.Sprintf("peers[%d]", i), p)
	}
	if key, err := hex.DecodeString(s.ResumeKey); err != nil || len(key) < minKeyBytes {
		d.addProblemAt("resume_key", "not a key", fmt.Sprintf("write at least %d hex digits, the same on every node", 2*minKeyBytes))
	}
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		d.addProblemAt("log_level", fmt.Sprintf("%q is not allowed", s.LogLevel), "use debug, info, warn or error")
	}
	d.checkPositive("address_ttl", s.AddressTTL)
	d.checkPositive("stop_grace", s.StopGrace)
	d.checkPositive("lease_ttl", s.LeaseTTL)
	d.checkPositive("lease_margin", s.LeaseMargin)
	d.checkPositive("order_transit", s.OrderTransit)
}

func (d *document) checkRequired(path, value string) {
	if value == "" {
		d.addProblemAt(path, "the field is missing", "write "+path+": followed by its value")
	}
}

func (d *document) checkHostPort(path, value string) {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		d.addProblemAt(path, fmt.Sprintf("%q is not an address", value), "use an IP number and a port, such as 10.0.0.1:8080")
	}
}

func (d *document) checkPositive(path string, v time.Duration) {
	if v <= 0 || v > maxDuration {
		d.addProblemAt(path, fmt.Sprintf("%s is out of range", v), fmt.Sprintf("use more than 0s, up to %s", maxDuration))
	}
}
