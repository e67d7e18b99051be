// Package work folds the record stream of one failure domain into the domain's
// jobs, members, leadership and minion owners. State is a deterministic state
// machine: every instance that applies the same records in the same order
// reaches the same state. The fold also decides who leads the domain. A
// candidacy counts only if the candidate had read the present leader's latest
// valid record when it stood for election. A batch counts only under the present
// term and in sequence. A late or duplicate record therefore changes nothing but
// the offset.
package work
