// Package keys decides which customer makes a call, by the API key that the call
// carries, the configuration in force and the age of the proof that this
// configuration is the newest. Times are those of a clock that also counts while
// the machine is suspended. docs/design/keys.md states the reasoning.
package keys
