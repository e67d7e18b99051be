package roles

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// site returns n instances in each of the given number of domains. The first
// two of each domain run on larger machines.
func site(domains, n int) []Instance {
	var all []Instance
	for d := range domains {
		for k := range n {
			i := Instance{Name: fmt.Sprintf("d%d-%03d", d, k), Domain: fmt.Sprintf("d%d", d), Cores: 0.1, LinkMbps: 20}
			if k < 2 {
				i.Cores, i.LinkMbps = 0.8, 200
			}
			all = append(all, i)
		}
	}
	return all
}

// promote makes every instance decide once after the given time, and returns
// the names of those that become replicas. Silent instances decide nothing.
func promote(all []Instance, lacking time.Duration) (names []string) {
	view := append([]Instance(nil), all...)
	for i := range all {
		if all[i].Replica || all[i].Silent {
			continue
		}
		if missing, rank := Need(all[i].Name, view); Due(missing, rank, lacking) {
			all[i].Replica = true
			names = append(names, all[i].Name)
		}
	}
	return names
}

// TestEveryInstanceReadsTheWholeLog guards against a site of hundreds of
// instances that all read every record, which takes more than the store's read
// bandwidth. Small sites keep a replica on every instance.
func TestEveryInstanceReadsTheWholeLog(t *testing.T) {
	tests := []struct {
		domains, perDomain, want int
	}{
		{1, 6, 6},
		{3, 2, 6},
		{4, 2, 8},
		{3, 3, 9},
		{1, 40, 12},
		{3, 10, 12},
		{5, 30, 15},
		{9, 120, 27},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d domains of %d", tt.domains, tt.perDomain), func(t *testing.T) {
			is := is.New(t)
			all := site(tt.domains, tt.perDomain)
			is.Equal(len(promote(all, settleTime-1)), 0) // not before all have registered
			names := promote(all, settleTime)
			is.Equal(len(names), tt.want)
			for _, i := range all {
				if i.Cores > 0.5 && !i.Replica {
					t.Errorf("instance %s: on a larger machine, but not a replica", i.Name)
				}
			}
			is.Equal(len(promote(all, time.Hour)), 0) // nothing is missing
		})
	}
}

// TestLostReplicasAreReplaced checks that a domain whose replicas have failed
// gets others, also if the best candidates have failed with them, and no more
// than are missing at a time.
func TestLostReplicasAreReplaced(t *testing.T) {
	is := is.New(t)
	all := site(5, 30)
	promote(all, settleTime)
	for i := range all {
		if all[i].Replica && all[i].Domain == "d0" {
			all[i].Silent = true
		}
	}
	is.Equal(promote(append([]Instance(nil), all...), settleTime), []string{"d0-003", "d0-004", "d0-005"})
	// d0-003 to d0-005 have failed too, which nobody knows: they don't decide.
	rest := append([]Instance(nil), all[6:]...)
	view := append([]Instance(nil), all...)
	missing, rank := Need(rest[0].Name, view)
	is.Equal(missing, 3)
	is.Equal(rank, 3)
	is.True(!Due(missing, rank, settleTime))
	is.True(Due(missing, rank, settleTime+escalationInterval))
}
