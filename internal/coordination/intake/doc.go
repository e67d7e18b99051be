// Package intake stores the records of callers' calls in the ledger. It batches
// them: calls that arrive while an append is under way share the next one.
package intake
