package rolecontrol

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/platform"
)

// RecordPrefix is the prefix of the keys of all engine records.
const RecordPrefix = "/granitebay/engines/"

// Record is the committed state that is wanted of an engine, as it stands in the key-value service. One generation has
// one content, and an order is a function of the record.
type Record struct {
	engine.Configuration
	// Generation grows by one with each commit.
	Generation uint64 `json:"generation"`
	// Draining means that no router sends new work to the engine.
	Draining bool `json:"draining,omitempty"`
	// Reason is one plain sentence for people.
	Reason string `json:"reason"`
	// Epoch under which the record was committed.
	Epoch uint64 `json:"epoch"`

	// revision of the service at which the record was committed; for people.
	revision uint64
}

// recordKey returns the key of the record of an engine.
func recordKey(name string) string { return RecordPrefix + name }

// recordEngine returns the engine whose record a key is.
func recordEngine(key string) string { return strings.TrimPrefix(key, RecordPrefix) }

// parseRecord reads a record as it stands in the key-value service.
func parseRecord(entry platform.Entry) (Record, error) {
	var record Record
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return Record{}, errors.Wrapf(err, "engine record %s: read", entry.Key)
	}
	if record.Generation == 0 {
		return Record{}, errors.Newf("engine record %s: no generation", entry.Key)
	}
	record.revision = entry.ModRevision
	return record, nil
}

// sameConfiguration compares configurations. The order of adapters does not matter.
func sameConfiguration(a, b engine.Configuration) bool {
	return a.Role == b.Role && a.Model == b.Model && a.ModelVersion == b.ModelVersion &&
		slices.Equal(canonicalAdapters(a.Adapters), canonicalAdapters(b.Adapters))
}

// canonical returns a configuration with its adapters sorted and each named once.
func canonical(configuration engine.Configuration) engine.Configuration {
	configuration.Adapters = canonicalAdapters(configuration.Adapters)
	return configuration
}

func canonicalAdapters(adapters []string) []string {
	if len(adapters) == 0 {
		return nil
	}
	return slices.Compact(slices.Sorted(slices.Values(adapters)))
}

// toMessage maps a record to the message that routers exchange.
func (r Record) toMessage(name string) *granitebayv1.EngineRecord {
	return &granitebayv1.EngineRecord{
		Engine:       name,
		Generation:   r.Generation,
		Role:         string(r.Role),
		Model:        r.Model,
		ModelVersion: r.ModelVersion,
		Adapters:     slices.Clone(r.Adapters),
		Draining:     r.Draining,
		Reason:       r.Reason,
		Epoch:        r.Epoch,
		Revision:     r.revision,
	}
}

// fromMessage maps a message to a record.
func fromMessage(message *granitebayv1.EngineRecord) Record {
	return Record{
		Configuration: engine.Configuration{
			Role:         engine.Role(message.GetRole()),
			Model:        message.GetModel(),
			ModelVersion: message.GetModelVersion(),
			Adapters:     slices.Clone(message.GetAdapters()),
		},
		Generation: message.GetGeneration(),
		Draining:   message.GetDraining(),
		Reason:     message.GetReason(),
		Epoch:      message.GetEpoch(),
		revision:   message.GetRevision(),
	}
}
