package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/engine"
)

// configured is a router as operators use it.
type configured interface {
	// Configuration is the core that takes edits and tells the revision in force.
	Configuration() *configuration.Core
}

// Times of operators.
const (
	// readInterval is the time between two looks at the revision that a router has in force.
	readInterval = 500 * time.Millisecond
	// resultPoll is the time between two looks for results of edits.
	resultPoll = 50 * time.Millisecond
	// editInterval is the time between two edits while two operators edit at once.
	editInterval = 1500 * time.Millisecond
	// editTimeout is how long an operator waits before the same edit is proposed again through another router.
	editTimeout = 6 * time.Second
	// usualEdits is the number of edits in every run, besides one that makes engines change.
	usualEdits = 2
	// changesWithin is the time from the first faults within which the edit comes that makes all engines change.
	changesWithin = 12 * time.Second
	// editTries bounds the routers through which one edit is proposed.
	editTries = 5
)

// Operators by name. The second one edits only together with the first.
const (
	firstOperator  = "operator-1"
	secondOperator = "operator-2"
)

// openEdit is an edit of which the operator has not heard the result.
type openEdit struct {
	operator string
	request  configuration.EditRequest
	router   string
	tries    int
}

// operators edit the configuration and look at the revisions in force.
type operators struct {
	world  *world
	random *rand.Rand
	last   int
	open   map[string]*openEdit
}

func newOperators(w *world) *operators {
	return &operators{world: w, random: newRandom(w.seed, streamOperators), open: map[string]*openEdit{}}
}

// start plans the usual edits and the looks at the routers.
func (o *operators) start() {
	for range usualEdits {
		o.world.at(between(o.random, faultsBegin, faultsEnd), func() {
			o.edit(firstOperator, drawEdits(o.world.deployment, o.random))
		})
	}
	o.world.at(between(o.random, faultsBegin, faultsBegin+changesWithin), func() {
		group := drawGroup(o.world.deployment, o.random)
		group.Models[0].Version = simulatedVersions[1]
		o.edit(firstOperator, []configuration.Edit{configuration.PutGroup(group)})
	})
	o.world.after(readInterval, o.read)
	o.world.after(resultPoll, o.takeResults)
}

// begin lets two operators edit at the same moments until the fault heals.
func (o *operators) begin(fault Fault) {
	if o.world.now >= fault.Until {
		return
	}
	o.edit(firstOperator, drawEdits(o.world.deployment, o.random))
	o.edit(secondOperator, drawEdits(o.world.deployment, o.random))
	o.world.after(editInterval, func() { o.begin(fault) })
}

// edit proposes a new edit through a router that runs.
func (o *operators) edit(operator string, edits []configuration.Edit) {
	o.last++
	made := &openEdit{operator: operator, request: configuration.EditRequest{
		ChangeID: fmt.Sprintf("change-%d", o.last), Author: operator, Edits: edits}}
	host := o.router(made)
	if host == nil {
		return
	}
	made.request.BaseRevision = revisionOf(host)
	o.open[made.request.ChangeID] = made
	o.propose(made, host)
}

// propose hands an edit to a router, and to another one if no result comes.
func (o *operators) propose(made *openEdit, host *processHost) {
	made.router = host.machine.Name
	made.tries++
	host.do(func(now time.Time, effects *core.Effects) {
		host.node.(configured).Configuration().Propose(now, made.request, effects)
	})
	o.world.after(editTimeout, func() {
		if o.open[made.request.ChangeID] == nil || made.tries >= editTries {
			return
		}
		if next := o.router(made); next != nil {
			o.propose(made, next)
		}
	})
}

// router draws a router that runs, if there is one, and not the one that the edit went through before.
func (o *operators) router(made *openEdit) *processHost {
	machines := slices.Clone(o.world.deployment.Routers)
	o.random.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	for _, machine := range machines {
		host := o.world.processes[machine.Name]
		_, usable := host.node.(configured)
		if usable && host.state == processRunning && !host.stopping && machine.Name != made.router {
			return host
		}
	}
	return nil
}

// takeResults looks for results of edits at all routers that run.
func (o *operators) takeResults() {
	o.eachRouter(func(host *processHost) {
		for _, result := range host.node.(configured).Configuration().TakeResults() {
			o.result(host, result)
		}
	})
	o.world.after(resultPoll, o.takeResults)
}

// result notes what became of an edit.
func (o *operators) result(host *processHost, result configuration.ProposeResult) {
	made := o.open[result.ChangeID]
	if made == nil {
		return
	}
	if result.Accepted {
		o.world.observe(ConfigurationAccepted{Seen: o.world.seen(), Operator: made.operator, Router: host.machine.Name,
			Revision: result.Revision, ChangeID: result.ChangeID})
	}
	inDoubt := result.Err != nil && len(result.Conflicts) == 0
	if !inDoubt {
		delete(o.open, result.ChangeID)
	}
	o.world.trace.value(o.world.now, "edit", host.machine.Name, result.Accepted)
}

// read looks at the revision that each router has in force.
func (o *operators) read() {
	o.eachRouter(func(host *processHost) {
		o.world.observe(ConfigurationRead{Seen: o.world.seen(), Router: host.machine.Name, Incarnation: host.incarnation,
			Revision: revisionOf(host)})
	})
	o.world.after(readInterval, o.read)
}

// eachRouter visits the routers that run and that operators can use.
func (o *operators) eachRouter(visit func(host *processHost)) {
	for _, machine := range o.world.deployment.Routers {
		host := o.world.processes[machine.Name]
		if _, usable := host.node.(configured); usable && host.state == processRunning {
			visit(host)
		}
	}
}

// revisionOf returns the revision that a router shows as in force.
func revisionOf(host *processHost) uint64 {
	return host.node.(configured).Configuration().Revision()
}

// drawEdits draws what an operator changes: mostly the pool of an engine, at times the version of the model or a rule.
func drawEdits(deployment Deployment, random *rand.Rand) []configuration.Edit {
	switch random.IntN(4) {
	case 0:
		return []configuration.Edit{configuration.PutGroup(drawGroup(deployment, random))}
	case 1:
		rule := pick(random, simulatedRules()...)
		rule.Priority = int32(random.IntN(10))
		return []configuration.Edit{configuration.PutRule(rule)}
	default:
		movable := names(deployment.Engines)[:movableEngines]
		return []configuration.Edit{configuration.SetLabel(pick(random, movable...), poolLabel, pick(random, poolServing, poolReserve))}
	}
}

// drawGroup draws a version of the model and the allowed roles for the group, so that engines must change.
func drawGroup(deployment Deployment, random *rand.Rand) configuration.Group {
	group := simulatedGroup(deployment)
	group.Models[0].Version = pick(random, simulatedVersions...)
	group.RolePolicy.AllowedRoles = pick(random, engine.Roles(), engine.Roles()[:1], engine.Roles()[1:])
	return group
}

// movableEngines is the number of engines that operators move between pools.
const movableEngines = 3

// The pools of engines. Only those of the first one serve.
const (
	poolLabel   = "pool"
	poolServing = "serving"
	poolReserve = "reserve"
)

// simulatedVersions are the versions of the model.
var simulatedVersions = []string{"1", "2"}

// simulatedGroup is the one group of engines.
func simulatedGroup(deployment Deployment) configuration.Group {
	policy := configuration.DefaultRolePolicy()
	policy.ChangeCost = deployment.RoleChangeCost
	policy.MinimumDwell = configuration.Duration(5 * time.Second)
	policy.MaximumChanging = 2
	return configuration.Group{Name: poolServing, EngineSelector: poolLabel + "=" + poolServing, RolePolicy: policy,
		Models: []configuration.GroupModel{{Model: deployment.Model, Version: simulatedVersions[0], MinimumEngines: 1}}}
}

// simulatedRules are the rules for requests.
func simulatedRules() []configuration.Rule {
	rule := func(name, selector string, precedence int) configuration.Rule {
		made := configuration.DefaultRule()
		made.Name, made.RequestSelector, made.Precedence, made.Groups = name, selector, precedence, []string{poolServing}
		return made
	}
	return []configuration.Rule{rule("once", "repeatable=false", 20), rule("quick", "class=quick", 10), rule("other", "", 0)}
}

// simulatedDocument is the configuration with which a run starts.
func simulatedDocument(deployment Deployment) configuration.Document {
	labels := lo.SliceToMap(deployment.Engines, func(machine Machine) (string, map[string]string) {
		return machine.Name, map[string]string{poolLabel: poolServing}
	})
	return configuration.Document{
		Spec: configuration.Spec{
			Models:       []configuration.Model{{Name: deployment.Model, Versions: simulatedVersions}},
			Groups:       []configuration.Group{simulatedGroup(deployment)},
			Rules:        simulatedRules(),
			EngineLabels: labels,
		},
		Status: configuration.Status{Revision: 1, ChangeID: "initial"},
	}
}
