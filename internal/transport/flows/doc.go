// Package flows serves the product's own interface to jobs of steps: JSON with
// kebab-case names over HTTP.
package flows
