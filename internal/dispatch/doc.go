// Package dispatch is the core of an engine owner: it queues requests, chooses the engine that runs each, relays the
// answer to the agent and keeps it until the agent has it.
//
// Invariants:
//   - A request has at most one entry, by its request id. A repeated message finds the entry and never starts a second run.
//   - Work that may not be repeated is submitted only to the engine that its claim decided.
//   - The outcome "not run" is given only to work that was never submitted by this router, or that every engine which it
//     was submitted to refused, or confirmed as cancelled before its start.
//   - An entry that ended stays for AnswerRetention, so that a late repeated message gets the same end.
package dispatch
