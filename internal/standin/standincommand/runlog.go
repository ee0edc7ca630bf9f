package standincommand

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/standin/enginemodel"
)

// RunEvent is what happened to a run.
type RunEvent string

// The events of runs.
const (
	RunStarted  RunEvent = "started"
	RunFinished RunEvent = "finished"
	RunCut      RunEvent = "cut"
)

// RunLogEntry is one line of the run log of an engine: what the engine really did, for checkers that look from outside.
type RunLogEntry struct {
	Time         time.Time `json:"time"`
	Event        RunEvent  `json:"event"`
	Engine       string    `json:"engine"`
	Incarnation  uint64    `json:"incarnation"`
	RequestID    string    `json:"requestId"`
	ContinueFrom uint32    `json:"continueFrom,omitempty"`
	// Cause is set when the run was cut.
	Cause enginemodel.CutCause `json:"cause,omitempty"`
}

// ReadRunLog reads the run log that an engine wrote to a file.
func ReadRunLog(path string) ([]RunLogEntry, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open the run log")
	}
	defer func() { _ = file.Close() }()
	var entries []RunLogEntry
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var entry RunLogEntry
		if err := json.Unmarshal(lines.Bytes(), &entry); err != nil {
			return nil, errors.Wrapf(err, "read the run log %s", path)
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// runLog writes the run log. Each line is written at once, so that the log is whole whenever the process ends.
type runLog struct {
	enginemodel.NopObserver
	mutex   sync.Mutex
	file    *os.File
	encoder *json.Encoder
}

// openRunLog opens a run log to append to.
func openRunLog(path string) (*runLog, error) {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open the run log")
	}
	return &runLog{file: file, encoder: json.NewEncoder(file)}, nil
}

// RunStarted is part of enginemodel.Observer.
func (l *runLog) RunStarted(now time.Time, run enginemodel.RunRecord) {
	l.write(now, RunStarted, run, "")
}

// RunFinished is part of enginemodel.Observer.
func (l *runLog) RunFinished(now time.Time, run enginemodel.RunRecord) {
	l.write(now, RunFinished, run, "")
}

// RunCut is part of enginemodel.Observer.
func (l *runLog) RunCut(now time.Time, run enginemodel.RunRecord, cause enginemodel.CutCause) {
	l.write(now, RunCut, run, cause)
}

// write adds a line. A log that cannot be written would make a checker believe in runs that were not, so it ends the
// process.
func (l *runLog) write(now time.Time, event RunEvent, run enginemodel.RunRecord, cause enginemodel.CutCause) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	err := l.encoder.Encode(RunLogEntry{
		Time: now, Event: event, Engine: run.Engine, Incarnation: run.Incarnation, RequestID: run.RequestID,
		ContinueFrom: run.ContinueFrom, Cause: cause,
	})
	if err != nil {
		panic(errors.Wrapf(err, "engine %s: write the run log", run.Engine))
	}
}

func (l *runLog) close() { _ = l.file.Close() }
