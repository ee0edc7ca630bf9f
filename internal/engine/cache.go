package engine

// WatchCache asks an engine for its CacheEvents from now on.
type WatchCache struct{ Engine string }

// ExportKV asks which of some prefix blocks an engine holds, to be imported by another one.
type ExportKV struct {
	Engine string
	// Blocks are hashes as in Submit.PrefixBlocks, first block first.
	Blocks []uint64
}

// ImportKV asks an engine to fetch prefix blocks that another engine exported.
type ImportKV struct {
	Engine              string
	ExpectedIncarnation uint64
	// TransferID matches the KVImported to the command.
	TransferID uint64
	Model      string
	// ModelVersion guards against a cache that another version of the weights made.
	ModelVersion string
	Blocks       []uint64
}

// EngineName returns the name of the engine that the command goes to.
func (c WatchCache) EngineName() string { return c.Engine }

// EngineName returns the name of the engine that the command goes to.
func (c ExportKV) EngineName() string { return c.Engine }

// EngineName returns the name of the engine that the command goes to.
func (c ImportKV) EngineName() string { return c.Engine }

// KVExported answers an ExportKV.
type KVExported struct {
	Engine       string
	Incarnation  uint64
	Model        string
	ModelVersion string
	// Blocks are the leading ones of those asked for that the engine holds.
	Blocks []uint64
	// Bytes is the size of their KV cache.
	Bytes uint64
}

// KVImported answers an ImportKV once the blocks are in the prefix cache, or at once when it was refused.
type KVImported struct {
	Engine      string
	Incarnation uint64
	TransferID  uint64
	// Blocks is the number of blocks that were put into the prefix cache.
	Blocks int
	// Refusal is set when the import was not done.
	Refusal Refusal
}

// EngineName returns the name of the engine that the event is from.
func (e KVExported) EngineName() string { return e.Engine }

// EngineName returns the name of the engine that the event is from.
func (e KVImported) EngineName() string { return e.Engine }
