package flow

import (
	"strings"

	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Queue is an entry point at which callers submit jobs, with the policy for them.
type Queue struct {
	Name   string
	Host   string // host of the callers' requests
	Prefix string // prefix of the path of the callers' requests
	Policy Policy
	Open   bool // callers need no API key, see Config.CustomersOn
}

// Customer is an organisation that submits jobs.
type Customer struct {
	Name   string
	Keys   []string // API keys, any of which identifies the customer
	Weight float64  // share when all is full, and the jobs a second that it may expect to be served
	// MaxRunning bounds the sizes of the customer's runs over all workers. A
	// resource of which it has 0 is not bounded.
	MaxRunning work.Size
}

// Service is a kind of workers that the operators list. Queues name it.
type Service struct {
	Name       string
	ChecksRoom bool // its workers refuse what does not fit
}

// Config is one version of the operators' configuration.
type Config struct {
	Version      int64
	Queues       []Queue
	MaxBodyBytes int64 // limit of a request body
	// CustomersOn is set if callers of queues that are not open must send the API
	// key of a customer.
	CustomersOn bool
	Customers   []Customer
	Services    []Service // only shown to operators; queues may name others
}

// FindQueue returns the queue for a request: among the queues of the host, the one
// with the longest prefix of path. It returns nil if there is none.
func (c *Config) FindQueue(host, path string) *Queue {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best
}

// Queue returns the queue with the given name, or nil.
func (c *Config) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// Customer returns the customer with the given name, or nil.
func (c *Config) Customer(name string) *Customer {
	for i := range c.Customers {
		if c.Customers[i].Name == name {
			return &c.Customers[i]
		}
	}
	return nil
}
