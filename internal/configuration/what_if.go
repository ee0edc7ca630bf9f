package configuration

import (
	"fmt"

	"github.com/samber/lo"
)

// Move is a worker that changes its group, or a class of requests that changes its rule.
type Move struct {
	// Subject is the address of the worker, or the labels of the requests.
	Subject string `json:"subject"`
	// From and To are names of groups or rules; empty means none.
	From string `json:"from"`
	To   string `json:"to"`
}

// String returns the move in words.
func (m Move) String() string {
	return fmt.Sprintf("%s: %s -> %s", m.Subject, lo.CoalesceOrEmpty(m.From, "none"), lo.CoalesceOrEmpty(m.To, "none"))
}

// Consequences is what an edit would do.
type Consequences struct {
	// Differences of the spec, in words.
	Differences []Difference `json:"differences"`
	// WorkerMoves are the workers that change their group.
	WorkerMoves []Move `json:"workerMoves"`
	// RequestMoves are the classes of requests that change their rule.
	RequestMoves []Move `json:"requestMoves"`
	// Warnings about the document after the edit.
	Warnings []string `json:"warnings"`
}

// WhatIf returns what would follow if the document after took the place of the document before, for the given workers
// and classes of requests. The error is FieldErrors when the document after is not valid.
func WhatIf(before, after Document, workers []WorkerInfo, requests []map[string]string) (Consequences, error) {
	newSnapshot, err := Compile(after)
	if err != nil {
		return Consequences{}, err
	}
	oldSnapshot, err := Compile(before)
	if err != nil {
		oldSnapshot = &Snapshot{}
	}
	differences, err := Diff(before.Spec, after.Spec)
	return Consequences{
		Differences:  differences,
		WorkerMoves:  workerMoves(oldSnapshot, newSnapshot, workers),
		RequestMoves: requestMoves(oldSnapshot, newSnapshot, requests),
		Warnings:     append(Warnings(after, workers), RequestWarnings(after, requests)...),
	}, err
}

func workerMoves(before, after *Snapshot, workers []WorkerInfo) []Move {
	sortedWorkers := sortedBy(workers, func(w WorkerInfo) string { return w.Address })
	return lo.FilterMap(sortedWorkers, func(worker WorkerInfo, _ int) (Move, bool) {
		from, _ := before.GroupOf(worker)
		to, _ := after.GroupOf(worker)
		return Move{Subject: "worker " + worker.Address, From: from.Name, To: to.Name}, from.Name != to.Name
	})
}

func requestMoves(before, after *Snapshot, requests []map[string]string) []Move {
	return lo.FilterMap(requests, func(request map[string]string, _ int) (Move, bool) {
		from, _ := before.RuleFor(request)
		to, _ := after.RuleFor(request)
		return Move{Subject: "requests {" + formatLabels(request) + "}", From: from.Name, To: to.Name}, from.Name != to.Name
	})
}
