// Package versionsync lets a gateway ask another one which software version began a stream.
package versionsync

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/granitebay/granitebay/internal/httpclient"
	"github.com/granitebay/granitebay/internal/streamversion"
)

// Path is the path at which gateways answer.
const Path = "/stream-version"

// Parameters of the query.
const (
	parameterKey      = "key"
	parameterService  = "service"
	parameterLifetime = "lifetime_ms"
)

// keyBase is the base of keys in queries.
const keyBase = 16

// Limits of a query.
const (
	maxServices      = 64
	maxResponseBytes = 4 << 10
)

// Answer is what a gateway knows about a stream. Its fields are numbered, so that other builds skip those that they don't know.
type Answer struct {
	// Found is set if the gateway has a record; Service, Software and AgeMs are then its content and its age.
	Found    bool   `cbor:"1,keyasint,omitempty"`
	Service  string `cbor:"2,keyasint,omitempty"`
	Software string `cbor:"3,keyasint,omitempty"`
	AgeMs    int64  `cbor:"4,keyasint,omitempty"`
	// Versions is the number of versions that can have begun the stream as far as the gateway knows. If it is one, OnlyService and OnlySoftware
	// are the version. IsComplete is set if the gateway has watched the workers for long enough.
	Versions     int    `cbor:"5,keyasint,omitempty"`
	OnlyService  string `cbor:"6,keyasint,omitempty"`
	OnlySoftware string `cbor:"7,keyasint,omitempty"`
	IsComplete   bool   `cbor:"8,keyasint,omitempty"`
}

// Version returns the version of the record.
func (a *Answer) Version() streamversion.Version {
	return streamversion.DecodeVersion(a.Service, a.Software)
}

// Outlook returns the outlook of the gateway.
func (a *Answer) Outlook() streamversion.Outlook {
	return streamversion.Outlook{
		Versions: a.Versions, Only: streamversion.Version{Service: a.OnlyService, Software: a.OnlySoftware}, IsComplete: a.IsComplete,
	}
}

// SetOutlook sets the outlook of the gateway.
func (a *Answer) SetOutlook(outlook streamversion.Outlook) {
	a.Versions, a.OnlyService, a.OnlySoftware = outlook.Versions, outlook.Only.Service, outlook.Only.Software
	a.IsComplete = outlook.IsComplete
}

// Handler serves what lookUp returns.
func Handler(lookUp func(stream streamversion.Stream) Answer) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		stream, err := parse(r.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		answer := lookUp(stream)
		encoded, err := cbor.Marshal(&answer)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/cbor")
		// A write error means that the peer has disconnected.
		_, _ = w.Write(encoded)
	})
}

// parse returns the stream of a query.
func parse(query url.Values) (streamversion.Stream, error) {
	key, keyErr := strconv.ParseUint(query.Get(parameterKey), keyBase, 64)
	lifetime, lifetimeErr := strconv.ParseInt(query.Get(parameterLifetime), 10, 64)
	services := query[parameterService]
	switch {
	case keyErr != nil:
		return streamversion.Stream{}, errors.Newf("parameter %s: %q is not allowed; a hexadecimal number is needed", parameterKey, query.Get(parameterKey))
	case lifetimeErr != nil || lifetime < 0 || lifetime > streamversion.MaxLifetime.Milliseconds():
		return streamversion.Stream{}, errors.Newf("parameter %s: %q is not allowed; a number from 0 to %d is needed",
			parameterLifetime, query.Get(parameterLifetime), streamversion.MaxLifetime.Milliseconds())
	case len(services) == 0 || len(services) > maxServices:
		return streamversion.Stream{}, errors.Newf("parameter %s: %d values are not allowed; 1 to %d are needed", parameterService, len(services), maxServices)
	}
	return streamversion.Stream{Key: streamversion.Key(key), Services: services, Lifetime: time.Duration(lifetime) * time.Millisecond}, nil
}

// Client asks other gateways.
type Client struct{ client *httpclient.Client }

// New returns a Client.
func New() *Client { return &Client{httpclient.New(httpclient.DefaultSettings())} }

// Ask returns what the gateway at the address knows about a stream. Errors name the peer.
func (c *Client) Ask(ctx context.Context, address string, stream streamversion.Stream) (Answer, error) {
	query := url.Values{
		parameterKey:      {strconv.FormatUint(uint64(stream.Key), keyBase)},
		parameterService:  stream.Services,
		parameterLifetime: {strconv.FormatInt(stream.Lifetime.Milliseconds(), 10)},
	}
	response, err := c.client.Do(ctx, address, &httpclient.Request{
		Method: http.MethodGet, Target: Path + "?" + query.Encode(), Host: address, Header: http.Header{},
	})
	if err != nil {
		return Answer{}, errors.Wrapf(err, "ask for the version of a stream, peer %s", address)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil || response.Status != http.StatusOK {
		return Answer{}, errors.Newf("ask for the version of a stream, peer %s: status %d, read error %v", address, response.Status, err)
	}
	var answer Answer
	if err := cbor.Unmarshal(content, &answer); err != nil {
		return Answer{}, errors.Wrapf(err, "ask for the version of a stream, peer %s: decode response, limited to %d bytes", address, maxResponseBytes)
	}
	return answer, nil
}
