// Package member keeps what an instance knows of the others: the platform's list
// of instances, which lags behind, and the reports that entry instances exchange
// in heartbeats. A peer without recent contact is suspected and gets no new work.
// Suspicion by itself ends no lease and no ownership; these end by a record in the
// log or by expiry.
package member
