// Package check has helpers for tests: comparison with golden files, of generated code
// with its source, of tables in documents with their values, and a fixed seed for
// stateful tests.
package check
