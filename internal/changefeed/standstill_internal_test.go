package changefeed

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/httpclient"
	"github.com/granitebay/granitebay/internal/store"
)

// heldConn is a connection whose first read is held.
type heldConn struct {
	*net.TCPConn
	hold time.Duration
}

func (c *heldConn) Read(buffer []byte) (int, error) {
	time.Sleep(c.hold)
	c.hold = 0
	return c.TCPConn.Read(buffer)
}

// heldDialer opens connections whose first read is held.
type heldDialer struct{ hold time.Duration }

func (d heldDialer) Dial(ctx context.Context, address string, _ bool) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &heldConn{conn.(*net.TCPConn), d.hold}, nil
}

func (heldDialer) IsDirect(net.Conn) bool                  { return true }
func (heldDialer) Usable(net.Conn, string, time.Time) bool { return true }
func (heldDialer) Suspect(string)                          {}
func (heldDialer) Forget(string)                           {}

// TestArrivedChangesAreNotAbandoned guards against an upstream that is skipped although its response has arrived, because after a standstill of
// this process the timeout runs before the goroutine that reads. An upstream that is silent is still given up.
func TestArrivedChangesAreNotAbandoned(t *testing.T) {
	for _, silent := range []bool{false, true} {
		end := make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if silent {
				<-end
				return
			}
			_ = json.NewEncoder(w).Encode(wireChanges{Changes: store.Changes{Revision: 7}})
		}))
		client := peerClient{httpclient.NewWithDialer(httpclient.DefaultSettings(), heldDialer{headerTimeoutMargin + 200*time.Millisecond})}
		started := time.Now()
		changes, err := client.requestChanges(context.Background(), strings.TrimPrefix(server.URL, "http://"), store.ChangesRequest{})
		if !silent && (err != nil || changes.Revision != 7) {
			t.Errorf("got %+v, %v", changes, err)
		}
		if took := time.Since(started); silent && (err == nil || took > 2*headerTimeoutMargin+500*time.Millisecond) {
			t.Errorf("a silent upstream: got %v after %s", err, took)
		}
		close(end)
		server.Close()
	}
}
