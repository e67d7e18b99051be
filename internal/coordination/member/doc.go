// Package member holds an instance's view of the other instances: the
// platform's list, which lags behind, and the reports that entry instances
// exchange in heartbeats. A peer without recent contact is suspected and gets no
// new work. Suspicion by itself ends no lease and no ownership; these end by a
// record in the log or by expiry.
package member
