// Package config holds the configuration that operators change by patches. State
// is a deterministic state machine that applies the records of the configuration
// stream. The order of the log decides which of two concurrent patches is
// accepted, so every instance that has read the same records has the same
// version, and an accepted version never changes.
//
// patch.go has the record and its verdict, paths.go the index of changed paths
// that finds conflicts, model.go the schema of a configuration and its checks.
package config
