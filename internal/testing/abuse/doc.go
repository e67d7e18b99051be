// Package abuse runs the real program as a process on loopback, lets a crowd of
// untrusted clients exhaust its memory or its file descriptors, and checks that
// it stays within its settings and still serves an ordinary client. Bytes that have
// arrived at it and were not read count as its memory. It consists of tests only:
//
//	go test ./internal/testing/abuse -count=1
//
// Each case runs by itself. Its verdict depends on no time but waitLimit, which
// ends a case that hangs.
package abuse
