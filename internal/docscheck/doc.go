// Package docscheck has tests only: they compare the pages of the documentation with the code, so that tables of settings,
// metrics and log prefixes, links and names of types cannot fall behind.
package docscheck
