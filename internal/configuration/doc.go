// Package configuration holds what operators decide by labels: the labels that they put on workers, the groups that select
// workers and the rules that select requests. It defines the document and its checks, compiles it for the request path,
// merges the edits of operators and brings them into the store.
package configuration
