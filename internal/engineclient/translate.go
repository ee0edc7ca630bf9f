package engineclient

import (
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/engineclient/enginewire"
)

func completionOf(submit engine.Submit) enginewire.CompletionRequest {
	body := enginewire.CompletionRequest{
		Model:               submit.Model,
		Prompt:              submit.Prompt,
		MaxTokens:           lo.ToPtr(submit.MaxTokens),
		Stream:              true,
		RequestID:           submit.RequestID,
		ExpectedIncarnation: lo.ToPtr(submit.ExpectedIncarnation),
		ExpectedGeneration:  lo.ToPtr(submit.ExpectedGeneration),
		Adapter:             submit.Adapter,
		Priority:            submit.Priority,
		ContinueFrom:        submit.ContinueFrom,
		PriorTokens:         submit.PriorTokens,
		StreamOffset:        submit.StreamOffset,
	}
	if submit.Prompt == "" {
		body.PromptDigest = enginewire.Hash(submit.PromptDigest)
		body.PromptTokens = submit.PromptTokens
		body.PrefixBlocks = enginewire.Hashes(submit.PrefixBlocks)
	}
	return body
}

func orderOf(order engine.Order) enginewire.Order {
	return enginewire.Order{
		ExpectedIncarnation: order.ExpectedIncarnation,
		Fence:               order.Fence,
		Configuration:       order.Configuration,
		Sender:              order.Sender,
	}
}

func importOf(command engine.ImportKV) enginewire.KVImport {
	return enginewire.KVImport{
		ExpectedIncarnation: command.ExpectedIncarnation,
		Model:               command.Model,
		ModelVersion:        command.ModelVersion,
		Blocks:              enginewire.Hashes(command.Blocks),
	}
}

func (c *call) refused(wire enginewire.Refused) engine.Event {
	return engine.Refused{
		Engine:      c.command.EngineName(),
		Incarnation: wire.Incarnation,
		Generation:  wire.Generation,
		RequestID:   wire.RequestID,
		Refusal:     engine.Refusal(wire.Refusal),
	}
}

func (c *call) cancelled(wire enginewire.Cancelled) engine.Event {
	return engine.Cancelled{
		Engine:      c.command.EngineName(),
		Incarnation: wire.Incarnation,
		RequestID:   wire.RequestID,
		Started:     wire.Started,
	}
}

func (c *call) orderResult(wire enginewire.OrderResult) engine.Event {
	return engine.OrderResult{
		Engine:      c.command.EngineName(),
		Incarnation: wire.Incarnation,
		Fence:       wire.Fence,
		Accepted:    wire.Accepted,
		Refusal:     engine.Refusal(wire.Refusal),
		Current:     wire.Current,
	}
}

func (c *call) status(wire enginewire.Load) engine.Event {
	return engine.Status{
		Engine:        c.command.EngineName(),
		Incarnation:   wire.Incarnation,
		AsOf:          wire.AsOf,
		Fence:         wire.Fence,
		Configuration: wire.Configuration,
		Changing:      wire.Changing,
		Running:       wire.Running,
		Waiting:       wire.Waiting,
		MemoryUsed:    wire.MemoryUsed,
		MemoryTotal:   wire.MemoryTotal,
	}
}

func (c *call) exported(wire enginewire.KVExported) engine.Event {
	return engine.KVExported{
		Engine:       c.command.EngineName(),
		Incarnation:  wire.Incarnation,
		Model:        wire.Model,
		ModelVersion: wire.ModelVersion,
		Blocks:       enginewire.Numbers(wire.Blocks),
		Bytes:        wire.Bytes,
	}
}

func (c *call) imported(wire enginewire.KVImported) engine.Event {
	transfer, _ := c.command.(engine.ImportKV)
	return engine.KVImported{
		Engine:      c.command.EngineName(),
		Incarnation: wire.Incarnation,
		TransferID:  transfer.TransferID,
		Blocks:      wire.Blocks,
		Refusal:     engine.Refusal(wire.Refusal),
	}
}

func (c *call) cacheEvent(wire enginewire.CacheEvent) engine.Event {
	return engine.CacheEvent{
		Engine:      c.command.EngineName(),
		Incarnation: wire.Incarnation,
		Sequence:    wire.Sequence,
		Stored:      enginewire.Numbers(wire.Stored),
		Evicted:     enginewire.Numbers(wire.Evicted),
	}
}
