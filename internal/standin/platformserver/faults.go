package platformserver

import (
	"context"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"github.com/granitebay/granitebay/internal/standin/platformmodel"
)

// faultSwitches are the faults of the key-value service. Those that are not given stay as they are.
type faultSwitches struct {
	Outage                *bool    `json:"outage,omitempty" doc:"The service is down."`
	SlowMilliseconds      *int64   `json:"slowMilliseconds,omitempty" minimum:"0" maximum:"600000" doc:"Extra time of each request."`
	LostAnswerProbability *float64 `json:"lostAnswerProbability,omitempty" minimum:"0" maximum:"1" doc:"Share of answers lost."`
}

type faultsInput struct{ Body faultSwitches }

type faultsOutput struct{ Body faultSwitches }

func (s *Server) registerFaults(api huma.API) {
	huma.Register(api, operation(http.MethodGet, "/v1/faults", "Read which faults are on"),
		func(context.Context, *struct{}) (*faultsOutput, error) { return newFaults(s.faults()), nil })
	huma.Register(api, operation(http.MethodPut, "/v1/faults", "Switch faults of the key-value service"),
		func(_ context.Context, input *faultsInput) (*faultsOutput, error) {
			s.Step(input.Body.apply)
			faults := s.faults()
			s.options.Logger.WithField("faults", faults).Info(logPrefix + "Faults switched.")
			return newFaults(faults), nil
		})
	huma.Register(api, operation(http.MethodPost, "/v1/faults/restart", "Restart the key-value service"),
		func(context.Context, *struct{}) (*struct{}, error) {
			s.Step(func(now time.Time, model *platformmodel.Model) { model.Restart(now) })
			return nil, nil
		})
}

func (f faultSwitches) apply(now time.Time, model *platformmodel.Model) {
	if f.SlowMilliseconds != nil {
		model.SetSlow(time.Duration(*f.SlowMilliseconds) * time.Millisecond)
	}
	if f.LostAnswerProbability != nil {
		model.SetLostAnswerProbability(*f.LostAnswerProbability)
	}
	if f.Outage != nil {
		model.SetOutage(now, *f.Outage)
	}
}

func (s *Server) faults() platformmodel.Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.model.Faults()
}

func newFaults(faults platformmodel.Faults) *faultsOutput {
	slow := faults.Slow.Milliseconds()
	return &faultsOutput{Body: faultSwitches{
		Outage:                &faults.Outage,
		SlowMilliseconds:      &slow,
		LostAnswerProbability: &faults.LostAnswerProbability,
	}}
}
