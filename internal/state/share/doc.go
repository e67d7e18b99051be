// Package share divides capacity between customers: it computes their dominant
// shares, checks their quotas, orders them, and tells which of their jobs exceed
// the rate that they are guaranteed. It does no input or output.
package share
