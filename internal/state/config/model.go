package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"

	"github.com/tamaracklink/tamaracklink/internal/state/errs"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Limits on a configuration and on a patch.
const (
	MaxDocBytes        = 4 << 20
	MaxPatchBytes      = 256 << 10
	maxShare           = 1000
	maxWaitingRequests = 100000
	maxReplicas        = work.MaxTasks
)

// Model is the typed form of one configuration version. Maps are keyed by name.
type Model struct {
	Tenants  map[string]Tenant  `json:"tenants"`
	Services map[string]Service `json:"services"`
	Jobs     map[string]Job     `json:"jobs"`
}

// Tenant is a team, with its fair share, its quota and its request limit.
type Tenant struct {
	Share       int64     `json:"share"`        // weight of its fair share; 0 counts as 1
	Quota       work.Size `json:"quota"`        // resources of running tasks in one domain; 0 means unlimited
	MaxRequests int       `json:"max-requests"` // requests waiting at one instance; 0 means the default
}

// Service is a long-running service in one failure domain.
type Service struct {
	Tenant   string    `json:"tenant"`
	Domain   string    `json:"domain"`
	Class    string    `json:"class"`
	Replicas int       `json:"replicas"`
	Size     work.Size `json:"size"`
	Command  string    `json:"command"`
}

// Job is a batch or gang job described by the configuration.
type Job struct {
	Tenant  string    `json:"tenant"`
	Domain  string    `json:"domain"`
	Kind    string    `json:"kind"`
	Class   string    `json:"class"`
	Tasks   int       `json:"tasks"`
	Size    work.Size `json:"size"`
	RunMs   int64     `json:"run-ms"` // declared run time of each task in milliseconds
	Retries int       `json:"retries"`
	Command string    `json:"command"`
}

// Spec returns the job specification of the service with the given name. An empty
// class means normal.
func (s Service) Spec(name string) work.JobSpec {
	class := s.Class
	if class == "" {
		class = work.ClassNormal
	}
	return work.JobSpec{
		ID: "service/" + name, Tenant: s.Tenant, Kind: work.KindService, Class: class,
		Tasks: s.Replicas, Size: s.Size, Command: s.Command,
	}
}

// Spec returns the job specification of the job with the given name.
func (j Job) Spec(name string) work.JobSpec {
	return work.JobSpec{
		ID: "job/" + name, Tenant: j.Tenant, Kind: j.Kind, Class: j.Class, Tasks: j.Tasks,
		Size: j.Size, RunMs: j.RunMs, Retries: j.Retries, Command: j.Command,
	}
}

// ParseModel decodes and checks a configuration document. The error lists every
// invalid value; a document that is too large or can't be decoded has one error.
// State stores the text of the error in a verdict, so instances whose texts
// differ hold different states. Peer is the party named in the errors.
func ParseModel(doc []byte, peer string) (Model, error) {
	const step = "check configuration"
	var m Model
	if len(doc) > MaxDocBytes {
		return m, &errs.Error{Step: step, Peer: peer, Value: fmt.Sprint(len(doc)), Allowed: fmt.Sprintf("at most %d bytes", MaxDocBytes)}
	}
	// Duplicate keys can't occur, because the document is encoded from a tree.
	d := json.NewDecoder(bytes.NewReader(doc))
	d.DisallowUnknownFields()
	if err := d.Decode(&m); err != nil {
		return m, errs.At(step, peer, err)
	}
	l := &errs.List{}
	m.checkTenants(l, step, peer)
	m.checkServices(l, step, peer)
	m.checkJobs(l, step, peer)
	return m, l.Err()
}

func (m Model) checkTenants(l *errs.List, step, peer string) {
	for _, name := range sortedKeys(len(m.Tenants), func(add func(string)) {
		for k := range m.Tenants {
			add(k)
		}
	}) {
		t := m.Tenants[name]
		path := "tenants." + name
		if !work.ValidName(name) {
			l.Add(errs.Error{Step: step, Peer: peer, Path: path, Value: name, Allowed: "a name of a-z 0-9 . _ / -"})
		}
		if t.Share < 0 || t.Share > maxShare {
			l.Add(errs.Error{Step: step, Peer: peer, Path: path + ".share", Value: fmt.Sprint(t.Share), Allowed: fmt.Sprintf("0 to %d", maxShare)})
		}
		if t.MaxRequests < 0 || t.MaxRequests > maxWaitingRequests {
			l.Add(errs.Error{Step: step, Peer: peer, Path: path + ".max-requests", Value: fmt.Sprint(t.MaxRequests), Allowed: fmt.Sprintf("0 to %d", maxWaitingRequests)})
		}
		if !(work.Size{}).FitsIn(t.Quota) {
			l.Add(errs.Error{Step: step, Peer: peer, Path: path + ".quota", Value: t.Quota.String(), Allowed: "0 or more of each resource"})
		}
	}
}

func (m Model) checkServices(l *errs.List, step, peer string) {
	for _, name := range sortedKeys(len(m.Services), func(add func(string)) {
		for k := range m.Services {
			add(k)
		}
	}) {
		s := m.Services[name]
		path := "services." + name + "."
		s.Spec(name).CheckInto(l, step, peer, path)
		m.checkReferences(l, step, peer, path, s.Tenant, s.Domain)
	}
}

func (m Model) checkJobs(l *errs.List, step, peer string) {
	for _, name := range sortedKeys(len(m.Jobs), func(add func(string)) {
		for k := range m.Jobs {
			add(k)
		}
	}) {
		j := m.Jobs[name]
		path := "jobs." + name + "."
		j.Spec(name).CheckInto(l, step, peer, path)
		if j.Kind == work.KindService {
			l.Add(errs.Error{Step: step, Peer: peer, Path: path + "kind", Value: j.Kind, Allowed: "batch or gang; services stand under services"})
		}
		m.checkReferences(l, step, peer, path, j.Tenant, j.Domain)
	}
}

// checkReferences checks the tenant and the domain of a service or job.
func (m Model) checkReferences(l *errs.List, step, peer, path, tenant, domain string) {
	if _, ok := m.Tenants[tenant]; !ok && work.ValidName(tenant) {
		l.Add(errs.Error{Step: step, Peer: peer, Path: path + "tenant", Value: tenant, Allowed: "a tenant of the configuration"})
	}
	if !work.ValidName(domain) {
		l.Add(errs.Error{Step: step, Peer: peer, Path: path + "domain", Value: domain, Allowed: "the name of a failure domain"})
	}
}

// sortedKeys returns the n keys that each passes to add, sorted, so that error
// lists and states do not depend on the iteration order of a map.
func sortedKeys(n int, each func(add func(string))) []string {
	keys := make([]string, 0, n)
	each(func(k string) { keys = append(keys, k) })
	sort.Strings(keys)
	return keys
}
