package capacity

import (
	"encoding/json"
	"fmt"

	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/platform"
	"github.com/granitebay/granitebay/internal/rolecontrol"
)

// Sizes that do not grow with the fleet.
const (
	zoneCount   = 17
	regionCount = 5
	modelCount  = 8
	tenantCount = 500
	seedCount   = 6
)

// modelLabel selects the engines of a group.
const modelLabel = "pool"

// deployment is a fleet of one size.
type deployment struct {
	routers []*granitebayv1.Peer
	engines []platform.Member
	records map[string]*granitebayv1.EngineRecord
	// holders are the routers that hold the shards, and owned the records of the engines that each router owns.
	holders map[string]string
	owned   map[string][]*granitebayv1.EngineRecord
}

// zoneName names a zone; what is before the last dash is its region.
func zoneName(index int) string {
	zone := index % zoneCount
	return fmt.Sprintf("region%d-%02d", zone%regionCount+1, zone)
}

// newDeployment makes a fleet: routers, engines and tenants spread evenly over zones, engines over models and roles.
func newDeployment(nodes, workers int) *deployment {
	d := &deployment{records: make(map[string]*granitebayv1.EngineRecord)}
	for index := range nodes {
		d.routers = append(d.routers, &granitebayv1.Peer{
			Name:        fmt.Sprintf("router-%03d", index),
			Incarnation: 1_750_000_000_000_000_000,
			Address:     fmt.Sprintf("10.0.%d.%d:7400", index/250, index%250),
			Zone:        zoneName(index),
		})
	}
	zones := min(nodes, zoneCount)
	for index := range workers {
		model := (index / zones) % modelCount
		name := fmt.Sprintf("engine-%04d", index)
		d.engines = append(d.engines, platform.Member{
			Name: name, Kind: platform.MemberEngine, Zone: zoneName(index % zones), Incarnation: 1_750_000_000_000_000_001,
			Address: fmt.Sprintf("10.1.%d.%d:8000", index/250, index%250),
			Labels:  map[string]string{modelLabel: modelName(model)},
		})
		role := engine.Roles()[index/(zones*modelCount)%2]
		d.records[name] = &granitebayv1.EngineRecord{
			Engine: name, Generation: 1, Role: string(role), Model: modelName(model), ModelVersion: "1",
			Reason: "First configuration of an engine of group " + modelName(model) + ".", Epoch: 1, Revision: 1,
		}
	}
	return d
}

func modelName(index int) string { return fmt.Sprintf("model-%d", index) }

// document is the first configuration: a group and a rule for each model, and the tenants.
func (d *deployment) document() configuration.Document {
	spec := configuration.Spec{}
	for index := range modelCount {
		name := modelName(index)
		spec.Models = append(spec.Models, configuration.Model{Name: name, Versions: []string{"1"}})
		spec.Groups = append(spec.Groups, configuration.Group{
			Name: name, EngineSelector: modelLabel + "=" + name,
			Models:     []configuration.GroupModel{{Model: name, Version: "1", MinimumEngines: 1}},
			RolePolicy: configuration.RolePolicy{AllowedRoles: engine.Roles(), MaximumChanging: 4},
		})
		spec.Rules = append(spec.Rules, configuration.Rule{
			Name: name, RequestSelector: "model=" + name, Groups: []string{name}, Weight: 1, MaximumQueue: 256,
			DefaultDeadline: configuration.Duration(defaultDeadline), MaximumDeadline: configuration.Duration(maximumDeadline),
		})
	}
	for index := range tenantCount {
		spec.Tenants = append(spec.Tenants, configuration.Tenant{
			Name: fmt.Sprintf("tenant-%03d", index), Weight: 1,
			Limits: &configuration.TenantLimits{MaximumInFlight: 32, TokensPerSecond: 60_000},
		})
	}
	return configuration.Document{Spec: spec, Status: configuration.Status{Revision: 1, ChangeID: "first"}}
}

// recordPuts are the writes that put the records of all engines into the key-value service.
func (d *deployment) recordPuts() []platform.Put {
	return lo.Map(d.engines, func(member platform.Member, _ int) platform.Put {
		message := d.records[member.Name]
		value, _ := json.Marshal(rolecontrol.Record{
			Configuration: engine.Configuration{Role: engine.Role(message.GetRole()), Model: message.GetModel(), ModelVersion: message.GetModelVersion()},
			Generation:    message.GetGeneration(), Reason: message.GetReason(), Epoch: message.GetEpoch(),
		})
		return platform.Put{Key: rolecontrol.RecordPrefix + member.Name, Value: value}
	})
}
