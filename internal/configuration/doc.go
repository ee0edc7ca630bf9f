// Package configuration defines the label-based configuration that operators edit: labels of workers, groups that select
// workers and rules that select requests. It validates the document, merges concurrent edits, writes them to the store,
// and compiles the document to the routing.Configuration by which gateways serve requests.
package configuration
