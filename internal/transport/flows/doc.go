// Package flows serves this system's own HTTP API for jobs of steps. Bodies are
// JSON with kebab-case names. The API of the platform's callers is in package
// platform.
package flows
