package standincommand

import (
	"context"
	"io"
	"reflect"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/standin/platformmodel"
)

func parse(t *testing.T, arguments ...string) (*PlatformCommand, error) {
	t.Helper()
	command := &PlatformCommand{}
	parser, err := kong.New(command)
	if err != nil {
		t.Fatal(err)
	}
	_, err = parser.Parse(arguments)
	return command, err
}

func TestDefaultsAreThoseOfTheModel(t *testing.T) {
	command, err := parse(t)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := command.settings(), platformmodel.DefaultSettings(); !reflect.DeepEqual(got, want) {
		t.Errorf("settings %+v, want %+v", got, want)
	}
}

func TestFlagErrorsNameFieldValueAndAllowed(t *testing.T) {
	tests := []struct {
		desc     string
		argument string
		want     []string
	}{
		{desc: "unknown choice", argument: "--outage-leases=forget", want: []string{"--outage-leases", "keep", "expire", "forget"}},
		{desc: "negative rate", argument: "--client-rate=-1", want: []string{"--client-rate", "-1", "0 or more"}},
		{desc: "no burst", argument: "--service-burst=0", want: []string{"--service-burst", "0", "1 or more"}},
		{desc: "negative lag", argument: "--membership-lag=-1s", want: []string{"--membership-lag", "-1s", "0s or more"}},
		{desc: "negative model size", argument: "--model-size=m=-1", want: []string{"--model-size", "m=-1", "0 or more"}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			_, err := parse(t, test.argument)
			for _, want := range test.want {
				if err == nil || !strings.Contains(err.Error(), want) {
					t.Errorf("error %v does not contain %q", err, want)
				}
			}
		})
	}
}

func TestRunEndsWithItsContext(t *testing.T) {
	command, err := parse(t, "--listen=127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	if err := command.Run(ctx, logger); err != nil {
		t.Error(err)
	}
}
