package flow

import "strings"

// Queue is where callers hand jobs in.
type Queue struct {
	Name   string
	Host   string // of the callers' requests
	Prefix string // of their path
	Policy Policy
}

// Config is one version of the operators' configuration.
type Config struct {
	Version      int64
	Queues       []Queue
	MaxBodyBytes int64
}

// Find gives the queue with the longest prefix that path begins with, or nil.
func (c *Config) Find(host, path string) *Queue {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best
}

// Queue gives the queue of that name, or nil.
func (c *Config) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}
