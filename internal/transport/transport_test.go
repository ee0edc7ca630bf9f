package transport

import (
	"io"
	"net"
	"testing"

	"github.com/sirupsen/logrus"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
)

// entryHook hands each log line on.
type entryHook chan *logrus.Entry

// Levels is part of logrus.Hook.
func (entryHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire is part of logrus.Hook.
func (h entryHook) Fire(entry *logrus.Entry) error {
	h <- entry
	return nil
}

func TestLostStreamIsLoggedWithThePrefix(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	entries := make(entryHook, 16)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	logger.SetLevel(logrus.DebugLevel)
	logger.AddHook(entries)
	sending := New(Options{
		Self:        &granitebayv1.Peer{Name: "router-a-1"},
		Deliver:     func(*granitebayv1.Envelope) {},
		Unreachable: func(string) {},
		Logger:      logger,
	})
	defer sending.Close()
	sending.Send(core.Message{To: "router-b-1", Address: address, Envelope: &granitebayv1.Envelope{}})
	if part := (<-entries).Data["part"]; part != "transport" {
		t.Errorf("the log line of a lost stream has the part %v, want transport", part)
	}
}
