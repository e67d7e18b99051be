// Package oper implements the command line of tamaracklink. root.go dispatches
// to the subcommands and sets the exit code, flags.go reads flags and
// environment variables, client.go calls an instance, logwriter.go writes the
// log of site, and each other file holds one subcommand. Output is text by
// default and JSON with -json.
package oper
