package work

import "github.com/tamaracklink/tamaracklink/internal/state/lease"

// applyClaim makes the claimant leader if it is a living member, the term is the
// next one and the claimant had read the last valid leader record. If two members
// claim the same term, the first claim in the log wins.
func (s *State) applyClaim(offset int64, c Claim) bool {
	m, joined := s.Members[c.Member]
	if !joined || m.Dead || c.Term != s.Term+1 || c.LastLeaderOffset != s.LastLeaderOffset {
		return false
	}
	s.Term = c.Term
	s.Leader = c.Member
	s.LeaderInstance = c.Instance
	s.LastLeaderOffset = offset
	s.LastSeq = 0
	return true
}

// addMember adds a new member and marks any member with the same address dead,
// because two processes can't listen on one address.
func (s *State) addMember(m Member) bool {
	if _, ok := s.Members[m.ID]; ok {
		return false
	}
	for id, other := range s.Members {
		if other.Addr == m.Addr {
			s.markDead(id)
		}
	}
	m.Acked = false
	m.Dead = false
	s.Members[m.ID] = m
	return true
}

// markDead records that a member's process has ended. Its minions may be granted
// to others at once, because no process is left that could dispatch to them.
func (s *State) markDead(member string) bool {
	m, ok := s.Members[member]
	if !ok || m.Dead {
		return false
	}
	m.Dead = true
	s.Members[member] = m
	s.releaseMinions(member)
	return true
}

// releaseMinions makes the member's minions available to others without a wait.
func (s *State) releaseMinions(member string) {
	for minion, o := range s.MinionOwners {
		if o.Member == member {
			s.MinionOwners[minion] = Owner{Released: true}
		}
	}
}

// removeMember removes a member at its own request. It releases the member's
// minions and, if the member leads, the leadership.
func (s *State) removeMember(offset int64, member string) bool {
	if _, ok := s.Members[member]; !ok {
		return false
	}
	delete(s.Members, member)
	s.releaseMinions(member)
	if s.Leader == member {
		s.Leader = ""
		s.LeaderInstance = ""
		s.LastLeaderOffset = offset
	}
	return true
}

// applyMembership applies the parts of a batch that concern members and minions.
// A minion is granted only if it has no owner at that point.
func (s *State) applyMembership(b *Batch) {
	for _, m := range b.Ack {
		if v, ok := s.Members[m]; ok {
			v.Acked = true
			s.Members[m] = v
		}
	}
	for _, m := range b.Remove {
		if m != s.Leader {
			delete(s.Members, m)
		}
	}
	for _, minion := range b.Revoke {
		s.MinionOwners[minion] = Owner{}
	}
	for _, g := range b.Grant {
		m, joined := s.Members[g.Member]
		if joined && !m.Dead && s.MinionOwners[g.Minion].Member == "" {
			s.MinionOwners[g.Minion] = Owner{Member: g.Member, Instance: g.Instance}
		}
	}
}

// OwnsMinions reports whether the member owns a minion of the domain.
func (s *State) OwnsMinions(member string) bool {
	for _, o := range s.MinionOwners {
		if o.Member == member {
			return true
		}
	}
	return false
}

// Membership returns the part of the state that decides when a member may claim
// the leadership: whether there is a leader, whether it is dead, and the number of
// acknowledged members that may have promised the leader not to claim.
func (s *State) Membership() lease.Membership {
	membership := lease.Membership{HasLeader: s.Leader != "", LeaderDead: s.Members[s.Leader].Dead}
	for id, m := range s.Members {
		if id == s.Leader || !m.Acked {
			continue
		}
		membership.Peers++
		if m.Dead {
			membership.DeadPeers++
		}
	}
	return membership
}
