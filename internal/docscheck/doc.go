// Package docscheck contains only tests. They check the documentation, examples and scripts of the repository against the code:
// tables of settings, metrics and log prefixes, links, names of types, alert rules, the dashboard and test.sh.
package docscheck
