package engineserver

import (
	"context"
	"fmt"
	"net/http"
	"slices"

	"github.com/danielgtaylor/huma/v2"

	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/engineclient/enginewire"
)

// body wraps the body of an answer for huma.
type body[T any] struct{ Body T }

type orderInput struct{ Body enginewire.Order }

// Resolve checks what the types of an order cannot say.
func (i *orderInput) Resolve(huma.Context) []error {
	role := i.Body.Configuration.Role
	if slices.Contains(engine.Roles(), role) {
		return nil
	}
	return []error{&huma.ErrorDetail{
		Location: "body.configuration.role",
		Message:  fmt.Sprintf("role is %q, allowed are %v", role, engine.Roles()),
		Value:    role,
	}}
}

type requestInput struct {
	ID string `path:"id" maxLength:"256" doc:"Request id, path-escaped"`
}

type exportInput struct{ Body enginewire.KVExport }

type importInput struct{ Body enginewire.KVImport }

func (s *Server) registerControl(api huma.API) {
	huma.Register(api, huma.Operation{
		OperationID: "order", Method: http.MethodPost, Path: enginewire.PathOrders,
		Summary: "Set the configuration of the engine",
	}, s.serveOrder)
	huma.Register(api, huma.Operation{
		OperationID: "load", Method: http.MethodGet, Path: enginewire.PathLoad,
		Summary: "Read the latest load report",
	}, s.serveLoad)
	huma.Register(api, huma.Operation{
		OperationID: "cancel", Method: http.MethodDelete, Path: enginewire.PathRequests + "{id}",
		Summary: "Stop a run and refuse its request from now on",
	}, s.serveCancel)
	huma.Register(api, huma.Operation{
		OperationID: "export-kv", Method: http.MethodPost, Path: enginewire.PathKVExport,
		Summary: "Tell which prefix blocks the engine can hand out",
	}, s.serveExport)
	huma.Register(api, huma.Operation{
		OperationID: "import-kv", Method: http.MethodPost, Path: enginewire.PathKVImport,
		Summary: "Fetch prefix blocks of another engine",
	}, s.serveImport)
}

// ask hands a command to the engine and waits for the one event that answers it.
func ask[T engine.Event](ctx context.Context, s *Server, command engine.Command) (answer T, err error) {
	box := s.process.open(fixed(command), "")
	if box == nil {
		abort()
	}
	event, ended, err := box.only(ctx)
	s.process.release(box, err == nil)
	if err != nil {
		return answer, huma.Error503ServiceUnavailable("the caller went away", err)
	}
	if ended != endNone && event == nil {
		abort()
	}
	return event.(T), nil
}

func (s *Server) serveOrder(ctx context.Context, input *orderInput) (*body[enginewire.OrderResult], error) {
	result, err := ask[engine.OrderResult](ctx, s, engine.Order{
		ExpectedIncarnation: input.Body.ExpectedIncarnation,
		Fence:               input.Body.Fence,
		Configuration:       input.Body.Configuration,
		Sender:              input.Body.Sender,
	})
	return &body[enginewire.OrderResult]{Body: enginewire.OrderResult{
		Incarnation: result.Incarnation,
		Fence:       result.Fence,
		Accepted:    result.Accepted,
		Refusal:     string(result.Refusal),
		Current:     result.Current,
	}}, err
}

func (s *Server) serveLoad(ctx context.Context, _ *struct{}) (*body[enginewire.Load], error) {
	status, err := ask[engine.Status](ctx, s, engine.Probe{})
	return &body[enginewire.Load]{Body: enginewire.Load{
		Engine:        status.Engine,
		Incarnation:   status.Incarnation,
		AsOf:          status.AsOf,
		Fence:         status.Fence,
		Configuration: status.Configuration,
		Changing:      status.Changing,
		Running:       status.Running,
		Waiting:       status.Waiting,
		MemoryUsed:    status.MemoryUsed,
		MemoryTotal:   status.MemoryTotal,
	}}, err
}

func (s *Server) serveCancel(ctx context.Context, input *requestInput) (*body[enginewire.Cancelled], error) {
	cancelled, err := ask[engine.Cancelled](ctx, s, engine.Cancel{RequestID: input.ID})
	return &body[enginewire.Cancelled]{Body: cancelledBody(cancelled)}, err
}

func (s *Server) serveExport(ctx context.Context, input *exportInput) (*body[enginewire.KVExported], error) {
	exported, err := ask[engine.KVExported](ctx, s, engine.ExportKV{Blocks: enginewire.Numbers(input.Body.Blocks)})
	return &body[enginewire.KVExported]{Body: enginewire.KVExported{
		Incarnation:  exported.Incarnation,
		Model:        exported.Model,
		ModelVersion: exported.ModelVersion,
		Blocks:       enginewire.Hashes(exported.Blocks),
		Bytes:        exported.Bytes,
	}}, err
}

func (s *Server) serveImport(ctx context.Context, input *importInput) (*body[enginewire.KVImported], error) {
	imported, err := ask[engine.KVImported](ctx, s, engine.ImportKV{
		ExpectedIncarnation: input.Body.ExpectedIncarnation,
		Model:               input.Body.Model,
		ModelVersion:        input.Body.ModelVersion,
		Blocks:              enginewire.Numbers(input.Body.Blocks),
	})
	return &body[enginewire.KVImported]{Body: enginewire.KVImported{
		Incarnation: imported.Incarnation,
		Blocks:      imported.Blocks,
		Refusal:     string(imported.Refusal),
	}}, err
}
