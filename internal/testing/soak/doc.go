// Package soak runs the real program as separate processes on one machine,
// injects faults from outside them, and checks what callers and workers see.
// It consists of tests only:
//
//	go test ./internal/testing/soak -count=1 -seeds=50 -first=1000 -timeout=2h
//
// plays 50 seeds. Without flags, the test plays the short seeded run of CI.
package soak
