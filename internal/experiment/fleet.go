package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/standin/enginemodel"
)

// Constants of all engines of an experiment.
const (
	modelName    = "model"
	modelVersion = "1"
	incarnation  = 1
	clientName   = "router"
	// tokenEventInterval makes runs cheaper; the first and the last token are not held back.
	tokenEventInterval = 16
)

// epoch is the time at which every run starts.
var epoch = time.Unix(1_700_000_000, 0).UTC()

// fleet is the engines of one run.
type fleet struct {
	names  []string
	index  map[string]int
	models []*enginemodel.Model
	wakes  []time.Time
}

// engineSettings returns the settings of the engines of experiments: those of the stand-ins.
func engineSettings(name string) enginemodel.Settings {
	settings := enginemodel.DefaultSettings(name, incarnation)
	settings.Start = epoch
	settings.TokenEventInterval = tokenEventInterval
	return settings
}

// newFleet starts engines, the first of them as prefill engines.
func newFleet(count, prefill int, seed uint64) *fleet {
	result := &fleet{index: map[string]int{}}
	for number := range count {
		name := fmt.Sprintf("engine-%02d", number+1)
		settings := engineSettings(name)
		settings.InitialConfiguration = configuration(lo.Ternary(number < prefill, engine.RolePrefill, engine.RoleDecode))
		model := enginemodel.New(settings, rand.New(rand.NewPCG(seed, uint64(number))))
		model.Handle(epoch, clientName, engine.WatchCache{Engine: name})
		result.names = append(result.names, name)
		result.index[name] = number
		result.models = append(result.models, model)
		result.wakes = append(result.wakes, model.NextWake())
	}
	return result
}

func configuration(role engine.Role) engine.Configuration {
	return engine.Configuration{Role: role, Model: modelName, ModelVersion: modelVersion}
}

// handle gives a command to its engine and returns what the engine says.
func (f *fleet) handle(now time.Time, command engine.Command) []enginemodel.ClientEvent {
	number := f.index[command.EngineName()]
	f.models[number].Handle(now, clientName, command)
	return f.take(number)
}

// tick runs one engine.
func (f *fleet) tick(now time.Time, number int) []enginemodel.ClientEvent {
	f.models[number].Tick(now)
	return f.take(number)
}

func (f *fleet) take(number int) []enginemodel.ClientEvent {
	f.wakes[number] = f.models[number].NextWake()
	return f.models[number].TakeEvents()
}

// nextWake returns the engine that is due first.
func (f *fleet) nextWake() (number int, at time.Time) {
	for each, wake := range f.wakes {
		if !wake.IsZero() && (at.IsZero() || wake.Before(at)) {
			number, at = each, wake
		}
	}
	return number, at
}
