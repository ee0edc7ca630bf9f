package configuration

import (
	"fmt"

	"github.com/samber/lo"
)

// Move is a change of the group of a worker, or of the rule for requests with given labels.
type Move struct {
	// Subject is the address of the worker, or the labels of the requests.
	Subject string `json:"subject"`
	// From and To are the names of groups or rules; empty means none.
	From string `json:"from"`
	To   string `json:"to"`
}

// String returns a description such as "worker 10.0.0.1:80: dock -> none".
func (m Move) String() string {
	return fmt.Sprintf("%s: %s -> %s", m.Subject, lo.CoalesceOrEmpty(m.From, "none"), lo.CoalesceOrEmpty(m.To, "none"))
}

// Consequences lists the effects that an edit would have.
type Consequences struct {
	// Differences between the specs.
	Differences []Difference `json:"differences"`
	// WorkerMoves are the workers whose group changes.
	WorkerMoves []Move `json:"workerMoves"`
	// RequestMoves are the sets of request labels for which the rule changes.
	RequestMoves []Move `json:"requestMoves"`
	// Warnings about the edited document.
	Warnings []string `json:"warnings"`
}

// PreviewEffects returns the effects of replacing one document by another on the given workers and sets of request
// labels. An invalid old document counts as empty. The error is FieldErrors if the new document is invalid.
func PreviewEffects(before, after Document, workers []WorkerInfo, requests []map[string]string) (Consequences, error) {
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
