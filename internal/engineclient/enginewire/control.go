package enginewire

import (
	"time"

	"github.com/granitebay/granitebay/internal/engine"
)

// Order is the body of POST /v1/orders.
type Order struct {
	ExpectedIncarnation uint64               `json:"expectedIncarnation" doc:"Incarnation of the engine that is meant"`
	Fence               engine.Fence         `json:"fence"`
	Configuration       engine.Configuration `json:"configuration"`
	Sender              string               `json:"sender,omitempty" doc:"Process that sends the order; for the record only"`
}

// OrderResult answers an Order, accepted or not.
type OrderResult struct {
	Incarnation uint64       `json:"incarnation"`
	Fence       engine.Fence `json:"fence" doc:"Fence of the order"`
	Accepted    bool         `json:"accepted"`
	Refusal     string       `json:"refusal,omitempty"`
	Current     engine.Fence `json:"current" doc:"Fence of the engine after the order"`
}

// Cancelled answers DELETE /v1/requests/{id}.
type Cancelled struct {
	Incarnation uint64 `json:"incarnation"`
	RequestID   string `json:"requestId"`
	Started     bool   `json:"started" doc:"Whether the engine had begun to run the request"`
}

// Load answers GET /v1/load.
type Load struct {
	Engine        string               `json:"engine"`
	Incarnation   uint64               `json:"incarnation"`
	AsOf          time.Time            `json:"asOf" doc:"Moment of the report by the clock of the engine"`
	Fence         engine.Fence         `json:"fence"`
	Configuration engine.Configuration `json:"configuration"`
	Changing      bool                 `json:"changing"`
	Running       int                  `json:"running"`
	Waiting       int                  `json:"waiting"`
	MemoryUsed    int                  `json:"memoryUsed" doc:"Tokens of KV cache that runs take"`
	MemoryTotal   int                  `json:"memoryTotal" doc:"Tokens of KV cache"`
}

// CacheEvent is the data of one event of GET /v1/cache/events.
type CacheEvent struct {
	Incarnation uint64 `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	Stored      []Hash `json:"stored,omitempty"`
	Evicted     []Hash `json:"evicted,omitempty"`
}

// KVExport is the body of POST /v1/kv/export.
type KVExport struct {
	Blocks []Hash `json:"blocks" maxItems:"65536" doc:"Prefix blocks, first block first"`
}

// KVExported answers a KVExport.
type KVExported struct {
	Incarnation  uint64 `json:"incarnation"`
	Model        string `json:"model"`
	ModelVersion string `json:"modelVersion"`
	Blocks       []Hash `json:"blocks" doc:"The leading blocks of those asked for that the engine holds"`
	Bytes        uint64 `json:"bytes"`
}

// KVImport is the body of POST /v1/kv/import. The answer comes when the blocks are in the cache.
type KVImport struct {
	ExpectedIncarnation uint64 `json:"expectedIncarnation"`
	Model               string `json:"model"`
	ModelVersion        string `json:"modelVersion"`
	Blocks              []Hash `json:"blocks" maxItems:"65536"`
}

// KVImported answers a KVImport.
type KVImported struct {
	Incarnation uint64 `json:"incarnation"`
	Blocks      int    `json:"blocks" doc:"Number of blocks that were put into the cache"`
	Refusal     string `json:"refusal,omitempty"`
}
