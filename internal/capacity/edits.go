package capacity

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/platform"
)

// operatorClient is the client of the platform that writes the edits of the operators.
const operatorClient = "operators"

// editLog makes edits and notes when each is in force at all routers.
type editLog struct {
	document configuration.Document
	hosts    int
	next     platform.RequestID
	open     map[uint64]*openEdit
	// worst is the longest time until an edit was in force everywhere.
	worst time.Duration
	made  int
}

// openEdit is an edit that is not yet in force everywhere.
type openEdit struct {
	at    time.Time
	count int
}

func newEditLog(document configuration.Document, hosts int) *editLog {
	return &editLog{document: document, hosts: hosts, open: make(map[uint64]*openEdit)}
}

// noteInForce takes word that a router went from one revision to another.
func (l *editLog) noteInForce(now time.Time, from, to uint64) {
	for revision := from + 1; revision <= to; revision++ {
		edit := l.open[revision]
		if edit == nil {
			continue
		}
		edit.count++
		if edit.count == l.hosts {
			l.worst = max(l.worst, now.Sub(edit.at))
			delete(l.open, revision)
		}
	}
}

// makeEdit changes the weight of one tenant in the store.
func (w *world) makeEdit() error {
	edits := w.edits
	tenant := edits.document.Tenants[edits.made%len(edits.document.Tenants)]
	tenant.Weight = 1 + tenant.Weight/2 + float64(edits.made%7)
	edits.made++
	next, _, err := configuration.Preview(edits.document, configuration.EditRequest{
		ChangeID:     fmt.Sprintf("edit-%d", edits.made),
		Author:       "operator",
		BaseRevision: edits.document.Revision,
		Edits:        []configuration.Edit{{Kind: configuration.EditPut, Tenant: &tenant}},
	}, w.now)
	if err != nil {
		return errors.Wrap(err, "step make an edit")
	}
	edits.document = next
	edits.open[next.Revision] = &openEdit{at: w.now}
	return w.storeDocument()
}

// storeDocument writes the document into the key-value service.
func (w *world) storeDocument() error {
	encoded, err := configuration.Encode(w.edits.document)
	if err != nil {
		return errors.Wrap(err, "step encode the configuration")
	}
	w.edits.next++
	w.askPlatform(operatorClient, w.edits.next, platform.Transaction{
		Puts: []platform.Put{{Key: configuration.StoreKey, Value: encoded}},
	})
	return nil
}
