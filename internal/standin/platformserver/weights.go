package platformserver

import (
	"context"
	"net/http"

	"github.com/danielgtaylor/huma/v2"

	"github.com/granitebay/granitebay/internal/platform"
)

type fetchInput struct {
	caller
	Body struct {
		Model   string `json:"model" minLength:"1"`
		Version string `json:"version,omitempty"`
		Zone    string `json:"zone,omitempty"`
	}
}

type fetchOutput struct {
	Body struct {
		DurationMilliseconds int64 `json:"durationMilliseconds" doc:"How long the load takes."`
	}
}

func (s *Server) registerWeights(api huma.API) {
	huma.Register(api, operation(http.MethodPost, "/v1/weights/fetch", "Ask for leave to load a model"),
		func(ctx context.Context, input *fetchInput) (*fetchOutput, error) {
			response, err := s.ask(ctx, input.Client, platform.FetchWeights(input.Body))
			if err != nil {
				return nil, err
			}
			output := &fetchOutput{}
			output.Body.DurationMilliseconds = milliseconds(response.Duration)
			return output, nil
		})
}
