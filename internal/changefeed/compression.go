package changefeed

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/store"
)

// minCompressedBytes is the size from which values are compressed. Only configurations and documents of operators are as large.
const minCompressedBytes = 4 << 10

// maxCompressedValues bounds the compressed values that are kept.
const maxCompressedValues = 32

// wireEvent is the wire format of a change. Requesters that support compression get large values compressed.
type wireEvent struct {
	store.Event
	// Compressed is the value, compressed by package flate. Value is empty then.
	Compressed []byte `json:"compressed,omitempty"`
}

// wireChanges is the wire format of store.Changes. Its changed items take the place of the embedded ones.
type wireChanges struct {
	store.Changes
	Changed []wireEvent `json:"changed,omitempty"`
}

// wireItem and wireSnapshot are the wire formats of store.Item and store.Snapshot.
type (
	wireItem struct {
		store.Item
		Compressed []byte `json:"compressed,omitempty"`
	}
	wireSnapshot struct {
		store.Snapshot
		Items []wireItem `json:"items"`
	}
)

// compressor compresses values, each once for all requesters: a configuration is sent to all standby gateways of a zone at the same time,
// and their upstream may have a slow link and few processor cycles. It is safe for concurrent use.
type compressor struct {
	mu     sync.Mutex
	values map[string]compressedValue
}

// compressedValue is the compressed value of an item at a revision.
type compressedValue struct {
	revision store.Revision
	content  []byte
}

// newCompressor returns a compressor that holds no values.
func newCompressor() *compressor { return &compressor{values: map[string]compressedValue{}} }

// changes returns the wire format of changes with large values compressed.
func (c *compressor) changes(changes store.Changes) wireChanges {
	wire := wireChanges{Changes: changes, Changed: make([]wireEvent, len(changes.Changed))}
	for i, event := range changes.Changed {
		wire.Changed[i].Event = event
		wire.Changed[i].Compressed = c.compress(&wire.Changed[i].Item)
	}
	return wire
}

// snapshot returns the wire format of a snapshot with large values compressed.
func (c *compressor) snapshot(snapshot store.Snapshot) wireSnapshot {
	wire := wireSnapshot{Snapshot: snapshot, Items: make([]wireItem, len(snapshot.Items))}
	for i, item := range snapshot.Items {
		wire.Items[i].Item = item
		wire.Items[i].Compressed = c.compress(&wire.Items[i].Item)
	}
	return wire
}

// compress returns the compressed value of an item and removes the value from the item. It returns nil and keeps the value if that is small.
func (c *compressor) compress(item *store.Item) []byte {
	if len(item.Value) < minCompressedBytes {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known, found := c.values[item.Key]
	if !found || known.revision != item.Revision {
		if len(c.values) >= maxCompressedValues {
			clear(c.values)
		}
		known = compressedValue{item.Revision, deflate(item.Value)}
		c.values[item.Key] = known
	}
	item.Value = nil
	return known.content
}

// deflate compresses content. Writes to a buffer do not fail.
func deflate(content []byte) []byte {
	var buffer bytes.Buffer
	writer, _ := flate.NewWriter(&buffer, flate.DefaultCompression)
	_, _ = writer.Write(content)
	_ = writer.Close()
	return buffer.Bytes()
}

// unpack returns the changes with all values decompressed.
func (w *wireChanges) unpack() (store.Changes, error) {
	changes := w.Changes
	changes.Changed = make([]store.Event, len(w.Changed))
	for i, event := range w.Changed {
		changes.Changed[i] = event.Event
		if err := decompress(&changes.Changed[i].Item, event.Compressed); err != nil {
			return store.Changes{}, err
		}
	}
	return changes, nil
}

// unpack returns the snapshot with all values decompressed.
func (w *wireSnapshot) unpack() (store.Snapshot, error) {
	snapshot := w.Snapshot
	snapshot.Items = make([]store.Item, len(w.Items))
	for i, item := range w.Items {
		snapshot.Items[i] = item.Item
		if err := decompress(&snapshot.Items[i], item.Compressed); err != nil {
			return store.Snapshot{}, err
		}
	}
	return snapshot, nil
}

// decompress sets the value of an item from its compressed form, if there is one.
func decompress(item *store.Item, compressed []byte) error {
	if len(compressed) == 0 {
		return nil
	}
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxResponseBytes+1))
	if err != nil {
		return errors.Wrapf(err, "decompress the value of %s", item.Key)
	}
	if len(value) > maxResponseBytes {
		return errors.Newf("decompress the value of %s: it exceeds the limit of %d bytes", item.Key, maxResponseBytes)
	}
	item.Value = value
	return nil
}
