// Package check provides test helpers. They compare results with golden files,
// generated code with its source, and tables in documents with computed values.
// They also fix the seed of stateful tests.
package check
