package roles

import "time"

// Numbers of replicas. With the smaller of the two, several replicas of a
// failure domain can fail together and its callers still find one in it.
const (
	minReplicas          = 12 // of a site
	minReplicasPerDomain = 3
)

// Timing of promotions.
const (
	// settleTime is how long replicas must be missing before one is added. The
	// instances of a site start together but register one by one, and a replica
	// that restarts is back within a second.
	settleTime = time.Second
	// escalationInterval is how long each further candidate waits for those
	// before it, which may have ended.
	escalationInterval = time.Second
	// maxUnready is how long a replica may answer that it is not ready before it
	// is replaced. It covers an outage of the store, in which no other instance
	// would do better, and a load of the ledger over a small link, which another
	// one would only slow down.
	maxUnready = 10 * time.Second
)

// Instance is what an instance knows of one of the site's instances.
type Instance struct {
	Name     string
	Domain   string  // failure domain
	Cores    float64 // processors of its machine
	LinkMbps float64 // bandwidth of its machine's link
	Replica  bool    // it has registered as a replica
	Silent   bool    // it leaves calls of the deciding instance unanswered
	// Unready is for how long it has answered that it is not ready, 0 if it is.
	Unready time.Duration
}

// lost reports whether another instance is to take the replica's place.
func (i *Instance) lost() bool { return i.Silent || i.Unready > maxUnready }

// better reports whether i is the better replica of the two.
func (i *Instance) better(o *Instance) bool {
	switch {
	case i.Cores != o.Cores:
		return i.Cores > o.Cores
	case i.LinkMbps != o.LinkMbps:
		return i.LinkMbps > o.LinkMbps
	}
	return i.Name < o.Name
}

// Need returns how many replicas the failure domain of the instance self lacks
// without it, and how many other instances there are better candidates. A
// domain has its share of minReplicas, and at least minReplicasPerDomain.
func Need(self string, all []Instance) (missing, rank int) {
	var own *Instance
	domains := map[string]bool{}
	for i := range all {
		domains[all[i].Domain] = true
		if all[i].Name == self {
			own = &all[i]
		}
	}
	if own == nil {
		return 0, 0
	}
	missing = max(minReplicasPerDomain, (minReplicas+len(domains)-1)/len(domains))
	for i := range all {
		o := &all[i]
		switch {
		case o.Domain != own.Domain || o == own || o.lost():
		case o.Replica:
			missing--
		case o.better(own):
			rank++
		}
	}
	return max(missing, 0), rank
}

// Due reports whether an instance has to become a replica, when its domain has
// lacked the given number for the given time and rank candidates are better.
func Due(missing, rank int, lacking time.Duration) bool {
	if missing == 0 || lacking < settleTime {
		return false
	}
	return rank < missing+int((lacking-settleTime)/escalationInterval)
}
