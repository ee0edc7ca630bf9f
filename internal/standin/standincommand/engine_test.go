package standincommand

import (
	"reflect"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"github.com/granitebay/granitebay/internal/standin/enginemodel"
)

func parseEngine(arguments ...string) (*EngineCommand, error) {
	command := &EngineCommand{}
	parser, err := kong.New(command)
	if err != nil {
		return nil, err
	}
	_, err = parser.Parse(append([]string{"--name=engine-a-1", "--zone=a"}, arguments...))
	return command, err
}

func TestEngineFlagsDefaultToTheSettingsOfTheModel(t *testing.T) {
	command, err := parseEngine()
	if err != nil {
		t.Fatal(err)
	}
	if got, want := command.settings(), enginemodel.DefaultSettings("engine-a-1", 0); !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}

func TestEngineFlagsAreChecked(t *testing.T) {
	tests := []struct {
		desc      string
		arguments []string
		want      string
	}{
		{"speed", []string{"--speed=0"}, "--speed is 0, allowed is more than 0"},
		{"role without model", []string{"--initial-role=decode"}, "allowed are both or neither"},
		{"role", []string{"--initial-role=wizard", "--initial-model=roast"}, "wizard"},
		{"memory", []string{"--memory-tokens=0"}, "memory tokens is 0, allowed is 1 or more"},
		{"crash share", []string{"--crash-during-change=2"}, "probability is 2, allowed is 0 to 1"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			if _, err := parseEngine(test.arguments...); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Fatalf("got error %v, want %q", err, test.want)
			}
		})
	}
}
