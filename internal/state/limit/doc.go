// Package limit decides how much of a process untrusted clients may take: how
// many connections, which of them to close when there are more, and how many
// bytes of request bodies. It does no input or output and needs no clock: what it
// decides depends on the order of the calls only. Package guard applies its
// decisions.
//
// derive.go derives the limits from the machine's memory and descriptors,
// budget.go counts the bytes, head.go the lines of heads, conns.go the connections.
package limit
