package flow

import "strings"

// Queue is an entry point at which callers submit jobs, with the policy for them.
type Queue struct {
	Name   string
	Host   string // host of the callers' requests
	Prefix string // prefix of the path of the callers' requests
	Policy Policy
}

// Config is one version of the operators' configuration.
type Config struct {
	Version      int64
	Queues       []Queue
	MaxBodyBytes int64 // limit of a request body
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
