package check

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// field is a field of an entry in both configurations.
type field struct {
	name     string
	old, new any
}

// compareEntries adds the fields that differ as changes. The values must be
// comparable.
func (k *checker) compareEntries(part string, index int, name string, fields []field) {
	for _, f := range fields {
		if f.old != f.new {
			k.add(Change, part, index, name, f.name, "%v -> %v", quoted(f.old), quoted(f.new))
		}
	}
}

func quoted(v any) string {
	if s, ok := v.(string); ok {
		return fmt.Sprintf("%q", s)
	}
	return fmt.Sprint(v)
}

// compare adds the differences from the configuration in force. Entries are
// compared by name; times of which instances drop the fraction, without it.
func (k *checker) compare(old *Config) {
	body := func(l Limits) string {
		if l.MaxBodyBytes == nil || *l.MaxBodyBytes <= 0 {
			return "default"
		}
		return fmt.Sprint(*l.MaxBodyBytes)
	}
	k.compareEntries(Top, -1, "", []field{{"version", old.Version, k.Version}})
	k.compareEntries(Customers, -1, "", []field{{"", needsKeys(old.CustomersOn), needsKeys(k.CustomersOn)}})
	if a, b := body(old.Limits), body(k.Limits); a != b {
		k.add(Change, LimitsOf, -1, "", "max-body-bytes", "%s -> %s", a, b)
	}
	k.compareQueues(old)
	k.compareServices(old)
	k.compareCustomers(old)
}

func needsKeys(on bool) string {
	if on {
		return "callers need keys"
	}
	return "callers need no keys"
}

func (k *checker) compareQueues(old *Config) {
	for i := range old.Queues {
		o := &old.Queues[i]
		if !slices.ContainsFunc(k.Queues, func(q Queue) bool { return q.Name == o.Name }) {
			k.add(Change, Queues, -1, o.Name, "", "removed (host %q, prefix %q)", o.Host, o.Prefix)
		}
	}
	for i := range k.Queues {
		q := &k.Queues[i]
		j := slices.IndexFunc(old.Queues, func(o Queue) bool { return o.Name == q.Name })
		if j < 0 {
			k.add(Change, Queues, i, q.Name, "", "added (host %q, prefix %q)", q.Host, q.Prefix)
			continue
		}
		o := &old.Queues[j]
		k.compareEntries(Queues, i, q.Name, []field{
			{"host", o.Host, q.Host}, {"prefix", o.Prefix, q.Prefix}, {"service", o.Service, q.Service}, {"priority", o.Priority, q.Priority},
			{"max-attempts", o.MaxAttempts, q.MaxAttempts}, {"stretch", o.Stretch, q.Stretch}, {"slack-ms", o.SlackMs, math.Trunc(q.SlackMs)},
			{"open", o.Open, q.Open}, {"call-ms", o.CallMs, q.CallMs}, {"worker-ms", o.PerWorkerMs, q.PerWorkerMs},
			{"valid-ms", o.TicketValidMs, math.Trunc(q.TicketValidMs)},
		})
	}
}

func (k *checker) compareServices(old *Config) {
	for _, o := range old.Services {
		if !slices.ContainsFunc(k.Services, func(s Service) bool { return s.Name == o.Name }) {
			k.add(Change, Services, -1, o.Name, "", "removed")
		}
	}
	for i, s := range k.Services {
		j := slices.IndexFunc(old.Services, func(o Service) bool { return o.Name == s.Name })
		if j < 0 {
			k.add(Change, Services, i, s.Name, "", "added")
			continue
		}
		k.compareEntries(Services, i, s.Name, []field{{"checks-room", old.Services[j].ChecksRoom, s.ChecksRoom}})
	}
}

func (k *checker) compareCustomers(old *Config) {
	for i := range old.Customers {
		o := &old.Customers[i]
		if !slices.ContainsFunc(k.Customers, func(c Customer) bool { return c.Name == o.Name }) {
			k.add(Change, Customers, -1, o.Name, "", "removed with %s", keyCount(o.KeyHashes))
		}
	}
	for i := range k.Customers {
		c := &k.Customers[i]
		hashes := make([]string, 0, len(c.Keys))
		for _, key := range c.Keys {
			hashes = append(hashes, HashKey(key))
		}
		j := slices.IndexFunc(old.Customers, func(o Customer) bool { return o.Name == c.Name })
		if j < 0 {
			k.add(Change, Customers, i, c.Name, "", "added with %s", keyCount(hashes))
			continue
		}
		o := &old.Customers[j]
		k.compareEntries(Customers, i, c.Name, []field{
			{"weight", o.Weight, c.Weight}, {"cpu", o.MaxRunning.CPU, c.MaxRunning.CPU},
			{"memory", o.MaxRunning.Memory, c.MaxRunning.Memory}, {"accelerators", o.MaxRunning.Accelerators, c.MaxRunning.Accelerators},
		})
		if added := without(hashes, o.KeyHashes); len(added) > 0 {
			k.add(Change, Customers, i, c.Name, "keys", "added %s", keyCount(added))
		}
		if removed := without(o.KeyHashes, hashes); len(removed) > 0 {
			k.add(Change, Customers, i, c.Name, "keys", "removed %s", keyCount(removed))
		}
	}
}

// without returns the elements of a that b lacks.
func without(a, b []string) []string {
	var rest []string
	for _, s := range a {
		if !slices.Contains(b, s) {
			rest = append(rest, s)
		}
	}
	return rest
}

func keyCount(hashes []string) string {
	switch len(hashes) {
	case 0:
		return "0 keys"
	case 1:
		return fmt.Sprintf("1 key (%s)", hashes[0])
	}
	return fmt.Sprintf("%d keys (%s)", len(hashes), strings.Join(hashes, ", "))
}
