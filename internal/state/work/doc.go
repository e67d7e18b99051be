// Package work holds the state of one failure domain: its jobs, members,
// leadership and minion owners. State is a deterministic state machine that
// applies the records of the domain's stream: every instance that applies the
// same records in the same order reaches the same state. The state machine also
// decides who leads the domain. A claim to the leadership counts only if the
// claimant had read the last valid record of the present leader. A batch counts
// only under the present term and in sequence. A late or duplicate record
// therefore changes nothing but the offset.
package work
