package check

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Config is a configuration as operators write it, with numbers that have not
// been limited or rounded. Its JSON form has hashes in place of the API keys, and
// only the fields that an instance knows of the configuration in force.
type Config struct {
	Version     int64      `json:"version"`
	Queues      []Queue    `json:"queues"`
	Services    []Service  `json:"services"`
	Limits      Limits     `json:"limits"`
	CustomersOn bool       `json:"customers-on"`
	Customers   []Customer `json:"customers"`
}

// Queue is a queue with its policy, see flow.Queue and flow.Policy.
type Queue struct {
	Name          string   `json:"name"`
	Host          string   `json:"host"`
	Prefix        string   `json:"prefix"`
	Service       string   `json:"service"`
	Priority      int      `json:"priority"`
	MaxAttempts   int      `json:"max-attempts"`
	Stretch       float64  `json:"stretch"`
	SlackMs       float64  `json:"slack-ms"`
	Open          bool     `json:"open"`
	CallMs        float64  `json:"call-ms"`
	PerWorkerMs   float64  `json:"worker-ms"`
	TicketValidMs float64  `json:"valid-ms"`
	TimeoutMs     *float64 `json:"-"` // nil if not given; instances don't use it
}

// Service is a kind of workers.
type Service struct {
	Name       string `json:"name"`
	ChecksRoom bool   `json:"checks-room"` // its workers refuse what does not fit
}

// Limits are the limits of requests. A nil one is not given.
type Limits struct {
	MaxBodyBytes *int64 `json:"max-body-bytes,omitempty"`
	// Instances don't use the configuration's limits of heads and idle connections.
	MaxHeadBytes  *int64   `json:"-"`
	HeadTimeoutMs *float64 `json:"-"`
	IdleTimeoutMs *float64 `json:"-"`
}

// Customer is a customer. Only KeyHashes is known of the keys in force.
type Customer struct {
	Name       string    `json:"name"`
	Keys       []string  `json:"-"`
	KeyHashes  []string  `json:"key-hashes"` // in the order of the keys
	Weight     float64   `json:"weight"`
	MaxRunning work.Size `json:"max-running"`
}

// hashDigits is the length of a key's hash. 32 bits tell the keys of a
// configuration apart, and do not confirm a guessed key with certainty.
const hashDigits = 8

// HashKey returns the part of a key's hash that may be shown.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])[:hashDigits]
}

// InForce returns the form of the configuration that an instance uses.
func InForce(cfg *flow.Config) *Config {
	c := &Config{Version: cfg.Version, CustomersOn: cfg.CustomersOn}
	if cfg.MaxBodyBytes > 0 {
		c.Limits.MaxBodyBytes = &cfg.MaxBodyBytes
	}
	for i := range cfg.Queues {
		q := &cfg.Queues[i]
		p := &q.Policy
		c.Queues = append(c.Queues, Queue{
			Name: q.Name, Host: q.Host, Prefix: q.Prefix, Open: q.Open, Service: p.Service, Priority: p.Priority, MaxAttempts: p.MaxAttempts,
			Stretch: p.Stretch, SlackMs: float64(p.SlackMs), CallMs: p.PlacementService.CallMs,
			PerWorkerMs: p.PlacementService.PerWorkerMs, TicketValidMs: float64(p.PlacementService.TicketValidMs),
		})
	}
	for _, s := range cfg.Services {
		c.Services = append(c.Services, Service(s))
	}
	for i := range cfg.Customers {
		f := &cfg.Customers[i]
		customer := Customer{Name: f.Name, KeyHashes: []string{}, Weight: f.Weight, MaxRunning: f.MaxRunning}
		for _, key := range f.Keys {
			customer.KeyHashes = append(customer.KeyHashes, HashKey(key))
		}
		c.Customers = append(c.Customers, customer)
	}
	return c
}
