package enginemodel

import (
	"time"

	"github.com/granitebay/granitebay/internal/engine"
)

// transfer is an import of KV cache that is under way. Imports are done one after the other.
type transfer struct {
	client  string
	command engine.ImportKV
	until   time.Time
}

func (m *Model) handleExport(client string, export engine.ExportKV) {
	held := export.Blocks[:m.cache.lookup(export.Blocks)]
	m.send(client, engine.KVExported{
		Engine:       m.settings.Name,
		Incarnation:  m.settings.Incarnation,
		Model:        m.configuration.Model,
		ModelVersion: m.configuration.ModelVersion,
		Blocks:       held,
		Bytes:        m.transferBytes(len(held)),
	})
}

func (m *Model) handleImport(now time.Time, client string, command engine.ImportKV) {
	if refusal := m.checkImport(command); refusal != "" {
		m.sendImported(client, command, 0, refusal)
		return
	}
	begin := now
	if count := len(m.transfers); count > 0 {
		begin = m.transfers[count-1].until
	}
	seconds := float64(m.transferBytes(len(command.Blocks))) / m.settings.KVBytesPerSecond
	until := begin.Add(time.Duration(seconds * float64(time.Second)))
	m.transfers = append(m.transfers, transfer{client: client, command: command, until: until})
}

func (m *Model) checkImport(command engine.ImportKV) engine.Refusal {
	switch {
	case command.ExpectedIncarnation != m.settings.Incarnation:
		return engine.RefusalIncarnation
	case !m.change.none():
		return engine.RefusalChanging
	case !m.loaded(command.Model, "") || command.ModelVersion != m.configuration.ModelVersion:
		return engine.RefusalModel
	}
	return ""
}

func (m *Model) transferBytes(blocks int) uint64 {
	return uint64(blocks) * engine.PrefixBlockTokens * m.settings.KVBytesPerToken
}

func (m *Model) nextTransfer() time.Time {
	if len(m.transfers) == 0 {
		return time.Time{}
	}
	return m.transfers[0].until
}

// finishTransfers puts the blocks of finished imports into the cache.
func (m *Model) finishTransfers(now time.Time) {
	for len(m.transfers) > 0 && !m.transfers[0].until.After(now) {
		done := m.transfers[0]
		m.transfers = m.transfers[1:]
		stored := m.cache.store(done.command.Blocks)
		m.cacheChanged(now)
		m.sendImported(done.client, done.command, stored, "")
	}
}

// refuseTransfers gives up the imports that are under way.
func (m *Model) refuseTransfers() {
	for _, given := range m.transfers {
		m.sendImported(given.client, given.command, 0, engine.RefusalChanging)
	}
	m.transfers = nil
}

func (m *Model) sendImported(client string, command engine.ImportKV, blocks int, refusal engine.Refusal) {
	m.send(client, engine.KVImported{
		Engine:      m.settings.Name,
		Incarnation: m.settings.Incarnation,
		TransferID:  command.TransferID,
		Blocks:      blocks,
		Refusal:     refusal,
	})
}
