// Package check helps the project's tests: golden files, generated code, tables
// in the docs, and the fixed seed of the stateful tests.
package check
