package check

import (
	"fmt"
	"math"
	"net"
	"strings"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// idDigits is the number of hexadecimal digits of a job's ID in a request's path.
const idDigits = 16

func (k *checker) checkVersion(inForce *Config) {
	switch {
	case k.Version < 1:
		k.add(Error, Top, -1, "", "version", "is %d, must be above 0", k.Version)
	case k.Version == math.MaxInt64:
		k.add(Error, Top, -1, "", "version", "is the largest number, no later version could be above it")
	case inForce != nil && k.Version <= inForce.Version:
		k.add(Error, Top, -1, "", "version", "is %d, but %d is in force and instances ignore a version that is not above it", k.Version, inForce.Version)
	}
}

func (k *checker) checkQueues() {
	if len(k.Queues) == 0 {
		k.add(Warning, Queues, -1, "", "", "is empty: every call is answered 404")
	}
	services := map[string]bool{}
	for _, s := range k.Services {
		services[s.Name] = true
	}
	first := map[string]int{}
	for i := range k.Queues {
		q := &k.Queues[i]
		report := func(s Severity, field, format string, args ...any) {
			k.add(s, Queues, i, q.Name, field, format, args...)
		}
		if j, ok := first[q.Name]; q.Name == "" {
			report(Error, "name", "is empty")
		} else if ok {
			report(Error, "name", "entry %d has the same name", j)
		} else {
			first[q.Name] = i
		}
		if q.Service == "" {
			report(Error, "service", "is empty: no worker runs the tasks")
		} else if !services[q.Service] {
			report(Error, "service", "%q is not among the services", q.Service)
		}
		if q.Open && !k.CustomersOn {
			report(Warning, "open", "has no effect: without customers no queue needs a key")
		}
		k.checkPolicy(q, report)
	}
}

// checkPaths reports queues that no request, or none for a job, can match.
func (k *checker) checkPaths() {
	for i := range k.Queues {
		q := &k.Queues[i]
		report := func(s Severity, field, format string, args ...any) {
			k.add(s, Queues, i, q.Name, field, format, args...)
		}
		// Instances compare the host of a request without its port, in the case in
		// which the client sent it.
		if _, _, err := net.SplitHostPort(q.Host); q.Host == "" {
			report(Error, "host", "is empty: no request matches")
		} else if err == nil {
			report(Error, "host", "%q has a port: no request matches, as its port is removed before", q.Host)
		} else if strings.ToLower(q.Host) != q.Host {
			report(Warning, "host", "%q has upper case: requests match only in the same case, and most clients send lower case", q.Host)
		}
		switch {
		case !strings.HasPrefix(q.Prefix, "/"):
			report(Error, "prefix", "%q does not begin with a slash: no job has a path that matches", q.Prefix)
		case !strings.HasSuffix(q.Prefix, "/"):
			report(Warning, "prefix", "%q does not end with a slash: the IDs of jobs follow it directly", q.Prefix)
		}
		for j := range k.Queues {
			k.checkPair(j, i)
		}
	}
}

// checkPair reports if queue i never gets requests because of queue other, or
// takes those for jobs of it.
func (k *checker) checkPair(other, i int) {
	o, q := &k.Queues[other], &k.Queues[i]
	if other == i || o.Host != q.Host {
		return
	}
	rest, ok := strings.CutPrefix(q.Prefix, o.Prefix)
	switch {
	case !ok:
	case rest == "":
		if other < i {
			k.add(Error, Queues, i, q.Name, "prefix", "no request matches: entry %d (%s) has the same host and prefix and comes first", other, o.Name)
		}
	case len(rest) <= idDigits && strings.Trim(rest, "0123456789abcdef") == "":
		k.add(Error, Queues, i, q.Name, "prefix", "takes the requests for jobs of entry %d (%s) whose IDs begin with %s", other, o.Name, rest)
	}
}

func (k *checker) checkServices() {
	used, first := map[string]bool{}, map[string]int{}
	for i := range k.Queues {
		used[k.Queues[i].Service] = true
	}
	for i, s := range k.Services {
		if j, ok := first[s.Name]; s.Name == "" {
			k.add(Error, Services, i, s.Name, "name", "is empty")
		} else if ok {
			k.add(Error, Services, i, s.Name, "name", "entry %d has the same name", j)
		} else if first[s.Name] = i; !used[s.Name] {
			k.add(Warning, Services, i, s.Name, "", "no queue has this service")
		}
	}
}

// keyHolder is where a key stands.
type keyHolder struct {
	index int
	name  string
}

func (k *checker) checkCustomers() {
	open := 0
	for i := range k.Queues {
		if k.Queues[i].Open {
			open++
		}
	}
	if k.CustomersOn && len(k.Customers) == 0 && open < len(k.Queues) {
		k.add(Warning, Customers, -1, "", "", "is empty: every call of the %d queues that need a key is answered 401", len(k.Queues)-open)
	}
	if len(k.Customers) > 0 && len(k.Queues) > 0 && open == len(k.Queues) {
		k.add(Warning, Customers, -1, "", "", "quotas and weights have no effect: every queue is open, and the jobs of open queues have no customer")
	}
	first, holders := map[string]int{}, map[string]keyHolder{}
	for i := range k.Customers {
		c := &k.Customers[i]
		report := func(s Severity, field, format string, args ...any) {
			k.add(s, Customers, i, c.Name, field, format, args...)
		}
		if j, ok := first[c.Name]; c.Name == "" {
			report(Error, "name", "is empty")
		} else if ok {
			report(Error, "name", "entry %d has the same name", j)
		} else {
			first[c.Name] = i
		}
		if c.Weight <= 0 {
			report(Error, "weight", "is %v, must be above 0: it is the share, and the jobs a second that are guaranteed", c.Weight)
		}
		for _, r := range []struct {
			field string
			n     int64
		}{{"cpu", c.MaxRunning.CPU}, {"memory", c.MaxRunning.Memory}, {"accelerators", c.MaxRunning.Accelerators}} {
			if r.n < 0 {
				report(Error, r.field, "is %d: a quota below 0 lets nothing start", r.n)
			}
		}
		if len(c.Keys) == 0 && open == 0 {
			report(Warning, "keys", "is empty, and every queue needs a key: the customer can't make a call")
		}
		for n, key := range c.Keys {
			k.checkKey(holders, keyHolder{i, c.Name}, fmt.Sprintf("keys[%d]", n), key)
		}
	}
}

// checkKey checks a key of a customer. Its findings have the key's hash only.
func (k *checker) checkKey(holders map[string]keyHolder, by keyHolder, field, key string) {
	report := func(s Severity, format string, args ...any) {
		k.add(s, Customers, by.index, by.name, field, format, args...)
	}
	if key == "" {
		report(Error, "is empty: a call without a key is refused")
		return
	}
	if strings.Trim(key, " \t") != key || strings.ContainsFunc(key, func(r rune) bool { return r < ' ' && r != '\t' || r > '~' }) {
		report(Error, "key %s has a character that a header can't carry there: no call matches", HashKey(key))
	}
	holder, ok := holders[key]
	switch {
	case !ok:
		holders[key] = by
	case holder.index == by.index:
		report(Warning, "key %s stands twice", HashKey(key))
	default:
		report(Error, "key %s is also that of entry %d (%s), which is taken for the caller", HashKey(key), holder.index, holder.name)
	}
}

// checkNumber reports a number that is negative, or above the largest with which
// instances compute.
func checkNumber(report func(s Severity, field, format string, args ...any), field string, v, most float64) {
	if v < 0 {
		report(Error, field, "is %v, must not be negative", v)
	} else if v > most {
		report(Error, field, "is %v, instances use %v instead", v, most)
	}
}

func (k *checker) checkPolicy(q *Queue, report func(s Severity, field, format string, args ...any)) {
	checkNumber(report, "stretch", q.Stretch, flow.MaxStretch)
	checkNumber(report, "slack-ms", q.SlackMs, flow.MaxTimeMs)
	checkNumber(report, "call-ms", q.CallMs, flow.MaxEstimateMs)
	checkNumber(report, "worker-ms", q.PerWorkerMs, flow.MaxEstimateMs)
	checkNumber(report, "valid-ms", q.TicketValidMs, flow.MaxTimeMs)
	if q.TimeoutMs != nil {
		checkNumber(report, "timeout-ms", *q.TimeoutMs, flow.MaxTimeMs)
	}
	if q.Priority < 0 {
		report(Error, "priority", "is %d, must not be negative: 0 is the most urgent", q.Priority)
	}
	k.checkBounds(q, report)
}
