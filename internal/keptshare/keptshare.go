// Package keptshare lets a gateway that begins to take requests learn from others what engines keep of prompts. What gateways tell each
// other as it happens reaches only those that take requests at that moment; and of a fleet of thousands of engines asking each one takes
// longer than callers wait.
//
// What is told is a hint: a part that an engine has dropped meanwhile is read again.
package keptshare

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/granitebay/granitebay/internal/httpclient"
	"github.com/granitebay/granitebay/internal/loadshare"
)

// Path is where gateways tell what engines keep.
const Path = "/kept"

// Bounds of one answer.
const (
	// mostParts is the most parts that are told: some of each of ten thousand engines, which are 4 MB.
	maxParts = 100_000
	// maxAnswerBytes bounds what is read of an answer.
	maxResponseBytes = 16 << 20
	// askTimeout bounds a question: what engines keep is asked of them where no gateway tells it, and callers wait meanwhile. A table of a
	// thousand documents is some hundred kilobytes, 0.1 s of a link of 10 Mbit/s.
	requestTimeout = 500 * time.Millisecond
)

// Handler tells the parts that a source knows, of each engine those used last at the end.
func Handler(source func(maxParts int) []loadshare.Kept) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		encoded, err := cbor.Marshal(source(maxParts))
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/cbor")
		// An error is that of a peer that has left.
		_, _ = w.Write(encoded)
	})
}

// Asker asks other gateways.
type Asker struct{ client *httpclient.Client }

// New returns an asker.
func New() *Asker { return &Asker{httpclient.New(httpclient.DefaultSettings())} }

// Ask returns what the gateway at an address knows that engines keep.
func (a *Asker) Ask(ctx context.Context, address string) ([]loadshare.Kept, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	response, err := a.client.Do(ctx, address, &httpclient.Request{Method: http.MethodGet, Target: Path, Host: address, Header: http.Header{}})
	if err != nil {
		return nil, errors.Wrapf(err, "step ask what engines keep, peer %s", address)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil || response.Status != http.StatusOK {
		return nil, errors.Newf("step ask what engines keep, peer %s: it answered %d, %v", address, response.Status, err)
	}
	var parts []loadshare.Kept
	err = cbor.Unmarshal(content, &parts)
	return parts, errors.Wrapf(err, "step ask what engines keep, peer %s: at most %d bytes are read", address, maxResponseBytes)
}
