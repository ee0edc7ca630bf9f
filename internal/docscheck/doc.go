// Package docscheck contains only tests. They compare the documentation with the code: tables of settings, metrics and
// log prefixes, links, and names of types.
package docscheck
