// Package check examines a configuration before operators write it to the store.
// It reports what is wrong, entries that can never match a request, limits that
// contradict each other or the behavior of the instances, and the differences
// from the configuration in force. It does no input or output.
package check
