// Package ports finds ports for the listeners of programs under test.
package ports
