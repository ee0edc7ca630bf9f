package routerprogram

import (
	"sync"
	"time"

	"github.com/granitebay/granitebay/internal/configuration"
)

// editWaiters hands the results of edits to those who proposed them.
type editWaiters struct {
	mutex   sync.Mutex
	waiting map[string][]chan configuration.ProposeResult
}

// expect returns a channel for the result of an edit.
func (w *editWaiters) expect(changeID string) chan configuration.ProposeResult {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.waiting == nil {
		w.waiting = make(map[string][]chan configuration.ProposeResult)
	}
	channel := make(chan configuration.ProposeResult, 1)
	w.waiting[changeID] = append(w.waiting[changeID], channel)
	return channel
}

// forget ends a wait.
func (w *editWaiters) forget(changeID string, channel chan configuration.ProposeResult) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	kept := w.waiting[changeID][:0]
	for _, each := range w.waiting[changeID] {
		if each != channel {
			kept = append(kept, each)
		}
	}
	w.waiting[changeID] = kept
	if len(kept) == 0 {
		delete(w.waiting, changeID)
	}
}

// deliver hands a result to all that wait for it.
func (w *editWaiters) deliver(result configuration.ProposeResult) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, channel := range w.waiting[result.ChangeID] {
		select {
		case channel <- result:
		default:
		}
	}
}

// takeEditResults hands out the edits that ended.
func (p *Program) takeEditResults() {
	var results []configuration.ProposeResult
	p.runner.Read(func(time.Time) { results = p.core.TakeEditResults() })
	for _, result := range results {
		p.edits.deliver(result)
	}
}
