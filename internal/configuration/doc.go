// Package configuration defines the label-based configuration that operators edit: labels of workers, groups that select
// workers and rules that select requests. It validates the document, compiles it for the request path, merges concurrent
// edits and writes them to the store.
package configuration
