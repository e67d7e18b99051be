// Package server implements an entry instance: it connects the instance's
// components and serves callers, operators and other instances over HTTP on one
// address.
//
// settings.go defines and checks the settings, instance.go builds, runs and
// shuts down the components, callers.go serves callers' requests, operators.go
// serves operators' calls, status.go reports the instance's status, and peers.go
// serves the calls of other instances.
package server
