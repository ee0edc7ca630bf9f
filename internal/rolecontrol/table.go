package rolecontrol

import (
	"slices"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/samber/lo"
)

// recordTable holds the record with the highest generation that is known of each engine.
type recordTable struct {
	records map[string]tableEntry
	changed map[string]bool
}

type tableEntry struct {
	record  Record
	message *granitebayv1.EngineRecord
}

func newRecordTable() *recordTable {
	return &recordTable{records: map[string]tableEntry{}, changed: map[string]bool{}}
}

// learn takes a record if its generation is higher than the one that is known, which it returns.
func (t *recordTable) learn(name string, record Record) (before Record, taken bool) {
	before = t.records[name].record
	if record.Generation <= before.Generation {
		return before, false
	}
	t.records[name] = tableEntry{record: record, message: record.toMessage(name)}
	t.changed[name] = true
	return before, true
}

func (t *recordTable) get(name string) (Record, bool) {
	entry, known := t.records[name]
	return entry.record, known
}

func (t *recordTable) message(name string) (*granitebayv1.EngineRecord, bool) {
	entry, known := t.records[name]
	return entry.message, known
}

func (t *recordTable) messages() []*granitebayv1.EngineRecord {
	return t.messagesOf(lo.Keys(t.records))
}

func (t *recordTable) takeChanged() []*granitebayv1.EngineRecord {
	if len(t.changed) == 0 {
		return nil
	}
	names := lo.Keys(t.changed)
	clear(t.changed)
	return t.messagesOf(names)
}

func (t *recordTable) messagesOf(names []string) []*granitebayv1.EngineRecord {
	slices.Sort(names)
	return lo.Map(names, func(name string, _ int) *granitebayv1.EngineRecord { return t.records[name].message })
}
