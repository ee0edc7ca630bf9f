// Package configuration holds the dynamic configuration of the fleet: the labels that operators put on engines, the
// groups that select engines, the rules that select requests, and the models. It defines the document and its checks,
// compiles it for fast matching, merges the edits of operators, and spreads accepted documents between processes.
package configuration
