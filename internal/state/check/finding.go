package check

import (
	"cmp"
	"fmt"
	"slices"
)

// Severity says what a finding means for the configuration.
type Severity uint8

// Severities, the most severe first.
const (
	Error   Severity = iota // the configuration must not be used
	Warning                 // probably not what is meant
	Change                  // a difference from the configuration in force
)

var severityNames = [...]string{Error: "error", Warning: "warning", Change: "change"}

// String returns the severity's name.
func (s Severity) String() string { return severityNames[s] }

// Parts of a configuration, in the order of findings.
const (
	Top       = "" // fields outside of the other parts
	Queues    = "queues"
	Services  = "services"
	LimitsOf  = "limits"
	Customers = "customers"
)

var parts = []string{Top, Queues, Services, LimitsOf, Customers}

// Finding is one result of a check.
type Finding struct {
	Severity Severity
	Part     string // one of the parts of a configuration
	Index    int    // of the entry in its part, -1 if it has none
	Name     string // of the entry
	Field    string // in JSON of Config; empty if the whole entry is meant
	Text     string
}

// Sort sorts findings by severity, part, entry, field and text.
func Sort(findings []Finding) {
	slices.SortFunc(findings, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(a.Severity, b.Severity),
			cmp.Compare(slices.Index(parts, a.Part), slices.Index(parts, b.Part)),
			cmp.Compare(a.Index, b.Index),
			cmp.Compare(a.Name, b.Name),
			cmp.Compare(a.Field, b.Field),
			cmp.Compare(a.Text, b.Text),
		)
	})
}

// checker collects the findings about a configuration.
type checker struct {
	*Config
	findings []Finding
}

func (k *checker) add(s Severity, part string, index int, name, field, format string, args ...any) {
	k.findings = append(k.findings, Finding{Severity: s, Part: part, Index: index, Name: name, Field: field, Text: fmt.Sprintf(format, args...)})
}

// Findings returns the sorted findings about a configuration, and its differences
// from the one in force if that is not nil.
func Findings(c, inForce *Config) []Finding {
	k := &checker{Config: c}
	k.checkVersion(inForce)
	k.checkQueues()
	k.checkPaths()
	k.checkServices()
	k.checkLimits()
	k.checkCustomers()
	if inForce != nil {
		k.compare(inForce)
	}
	Sort(k.findings)
	return k.findings
}
