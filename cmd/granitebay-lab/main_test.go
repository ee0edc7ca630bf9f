package main

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/demo"
	"github.com/granitebay/granitebay/internal/store"
	"github.com/granitebay/granitebay/platform"
)

// TestDemoAccountsForEveryRequest runs the demo of each deployment briefly and checks that each request has one outcome.
func TestDemoAccountsForEveryRequest(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	surroundings := demo.Surroundings{
		NewGateway: platform.NewGateway, NewStore: func(address string) store.Store { return platform.NewStore(address) },
	}
	for _, deployment := range []string{"fes", "magnolia"} {
		var out bytes.Buffer
		command := demo.Command{Deployment: deployment, For: 2 * time.Second, Seed: 1, Rate: 1, EngineSpeed: 1.5}
		if err := command.Run(t.Context(), &out, surroundings, logger); err != nil {
			t.Fatalf("%s: %v\n%s", deployment, err, out.String())
		}
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		var total struct {
			Sent     int `json:"sent"`
			Answered int `json:"answered"`
			NotRun   int `json:"not_run"`
			Unknown  int `json:"unknown"`
			Failed   int `json:"failed"`
		}
		if err := json.Unmarshal([]byte(lines[len(lines)-1]), &total); err != nil {
			t.Fatalf("last line %q: %v", lines[len(lines)-1], err)
		}
		if total.Answered == 0 || total.Sent != total.Answered+total.NotRun+total.Unknown+total.Failed {
			t.Errorf("%s: the outcomes do not add up to the requests sent: %+v", deployment, total)
		}
	}
}

func TestFlagErrorsNameEachInvalidFlag(t *testing.T) {
	parser, err := kong.New(&commandLine{}, kong.Vars{"version": "test"})
	if err != nil {
		t.Fatal(err)
	}
	_, err = parser.Parse([]string{"demo", "--deployment=sydney", "--for=-1s", "--rate=0", "--engine-speed=-2"})
	for _, want := range []string{"--deployment", "sydney", "fes, magnolia", "--for", "-1s", "--rate", "0", "--engine-speed", "-2"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v does not contain %q", err, want)
		}
	}
}
