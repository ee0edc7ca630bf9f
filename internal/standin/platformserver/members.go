package platformserver

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/platform"
	"github.com/granitebay/granitebay/internal/standin/platformmodel"
)

type membersInput struct{ caller }

type membersOutput struct {
	Body struct {
		Members []platform.Member `json:"members"`
	}
}

// memberBody is platform.Member as a client sends it.
type memberBody struct {
	Name        string              `json:"name" minLength:"1"`
	Kind        platform.MemberKind `json:"kind" enum:"router,engine,agent"`
	Zone        string              `json:"zone,omitempty"`
	Address     string              `json:"address,omitempty"`
	Incarnation uint64              `json:"incarnation,omitempty"`
	Leaving     bool                `json:"leaving,omitempty"`
	Labels      map[string]string   `json:"labels,omitempty"`
}

type registerInput struct {
	caller
	Body memberBody
}

type registerOutput struct {
	Body struct {
		TTLMilliseconds int64 `json:"ttlMilliseconds" doc:"Register again within this time; zero means that there is no need."`
	}
}

type removeInput struct {
	caller
	Name string `path:"name"`
}

type leavingInput struct {
	caller
	Name string `path:"name"`
	Body struct {
		Leaving bool `json:"leaving"`
	}
}

func (s *Server) registerMembers(api huma.API) {
	huma.Register(api, operation(http.MethodGet, "/v1/members", "Read the membership list, which lags"),
		func(ctx context.Context, input *membersInput) (*membersOutput, error) {
			response, err := s.ask(ctx, input.Client, platform.ListMembers{})
			if err != nil {
				return nil, err
			}
			output := &membersOutput{}
			output.Body.Members = append([]platform.Member{}, response.Members...)
			return output, nil
		})
	huma.Register(api, operation(http.MethodPost, "/v1/members", "Register a machine, or renew its registration"),
		func(_ context.Context, input *registerInput) (*registerOutput, error) {
			s.Step(func(now time.Time, model *platformmodel.Model) {
				model.RegisterMember(now, platform.Member(input.Body))
			})
			output := &registerOutput{}
			output.Body.TTLMilliseconds = s.options.Settings.MemberTTL.Milliseconds()
			return output, nil
		})
	s.registerMemberChanges(api)
}

func (s *Server) registerMemberChanges(api huma.API) {
	huma.Register(api, operation(http.MethodDelete, "/v1/members/{name}", "Take a machine off the list"),
		func(_ context.Context, input *removeInput) (*struct{}, error) {
			found := false
			s.Step(func(now time.Time, model *platformmodel.Model) { found = model.RemoveMember(now, input.Name) })
			return nil, lo.Ternary(found, nil, unknownMember(input.Name))
		})
	huma.Register(api, operation(http.MethodPut, "/v1/members/{name}/leaving", "Tell that a machine will go away soon"),
		func(_ context.Context, input *leavingInput) (*struct{}, error) {
			found := false
			s.Step(func(now time.Time, model *platformmodel.Model) {
				found = model.SetLeaving(now, input.Name, input.Body.Leaving)
			})
			return nil, lo.Ternary(found, nil, unknownMember(input.Name))
		})
}

func unknownMember(name string) error {
	return huma.Error404NotFound(fmt.Sprintf("No machine named %q is registered.", name), &huma.ErrorDetail{
		Message:  "expected the name of a registered machine",
		Location: "path.name",
		Value:    name,
	})
}
