// Package member keeps what an instance knows of the others: the platform's list
// of instances, which lags behind, and the reports that entry instances exchange
// in heartbeats. A peer without recent contact is only suspected: it gets no new
// work, but no lease or ownership is transferred on suspicion alone.
package member
