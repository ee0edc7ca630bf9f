package experiment

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/engine"
)

// FloodCommand measures what tenants within their share lose to one that floods.
type FloodCommand struct {
	Options `embed:""`
}

// Constants of the flood.
const (
	// floodTenant is the one that floods, and floodFactor how many times as much it then sends.
	floodTenant = "tenant-0"
	floodFactor = 10
	// floodLoad is the load without the flood, as a factor on the mean load of the mix-shift experiment.
	floodLoad = 0.7
)

// floodResult is a Result under the flood, with what the other tenants lost to it.
type floodResult struct {
	Result
	// OthersBefore and OthersDuring are the goodput of the other tenants without and with the flood.
	OthersBefore float64 `json:"others_before"`
	OthersDuring float64 `json:"others_during"`
	// WorstLoss is the greatest loss of goodput of one other tenant.
	WorstLoss float64 `json:"worst_loss"`
}

// floodSummary is the last line of the flood experiment.
type floodSummary struct {
	Deployment string                 `json:"deployment"`
	Seed       uint64                 `json:"seed"`
	Policies   map[string]floodResult `json:"policies"`
}

// Run runs the experiment and writes a table and, as the last line, JSON.
func (c *FloodCommand) Run(ctx context.Context, out io.Writer) error {
	place, err := findDeployment(c.Deployment)
	if err != nil {
		return err
	}
	calm := evenTenants(place.steady().workload(c.Seed, floodLoad*c.Load), place.tenants)
	flooded := withFlood(calm)
	before, err := compare(ctx, calm, floodVariants(calm), c.parallel())
	if err != nil {
		return err
	}
	during, err := compare(ctx, flooded, floodVariants(flooded), c.parallel())
	if err != nil {
		return err
	}
	line := floodSummary{Deployment: place.name, Seed: c.Seed, Policies: map[string]floodResult{}}
	for index, each := range during.outcomes {
		line.Policies[each.variant.family] = compareTenants(before.outcomes[index].result, each.result)
	}
	return writeFlood(out, line)
}

// floodVariants are granitebay with and without fair sharing.
func floodVariants(workload *Workload) []variant {
	unfair := granitebayPolicy(workload)
	unfair.name = "without_fairness"
	unfair.front.fair = false
	return []variant{
		{family: PolicyGranitebay, policy: granitebayPolicy(workload)},
		{family: unfair.name, policy: unfair},
	}
}

// evenTenants gives all tenants the same share, so that every tenant but the flooding one is within its share.
func evenTenants(workload *Workload, tenants int) *Workload {
	result := *workload
	result.Requests = slices.Clone(workload.Requests)
	for index := range result.Requests {
		result.Requests[index].Tenant = "tenant-" + strconv.Itoa(index%tenants)
	}
	return &result
}

// withFlood repeats the requests of the flooding tenant. The prompts of the copies have blocks of their own.
func withFlood(workload *Workload) *Workload {
	result := *workload
	result.Requests = nil
	for index, each := range workload.Requests {
		result.Requests = append(result.Requests, each)
		if each.Tenant != floodTenant {
			continue
		}
		for number := 1; number < floodFactor; number++ {
			result.Requests = append(result.Requests, floodCopy(workload, each, index, number))
		}
	}
	slices.SortStableFunc(result.Requests, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	return &result
}

func floodCopy(workload *Workload, original Request, index, number int) Request {
	result := original
	result.ID = fmt.Sprintf("%s-%d", original.ID, number)
	// Copies arrive spread over the whole run.
	result.At = workload.Requests[(index*floodFactor+number*7919)%len(workload.Requests)].At
	result.PrefixBlocks = lo.Map(original.PrefixBlocks, func(block uint64, place int) uint64 {
		if place*engine.PrefixBlockTokens < original.SharedTokens {
			return block
		}
		return block ^ uint64(number)<<56
	})
	return result
}

// compareTenants compares the tenants other than the flooding one.
func compareTenants(before, during Result) floodResult {
	result := floodResult{Result: during}
	others := lo.Without(sortedKeys(before.GoodputByTenant), floodTenant)
	for _, tenant := range others {
		result.OthersBefore += before.GoodputByTenant[tenant] / float64(len(others))
		result.OthersDuring += during.GoodputByTenant[tenant] / float64(len(others))
		result.WorstLoss = max(result.WorstLoss, 1-during.GoodputByTenant[tenant]/before.GoodputByTenant[tenant])
	}
	return result
}

func writeFlood(out io.Writer, line floodSummary) error {
	writer := table.NewWriter()
	writer.AppendHeader(table.Row{"policy", "others before", "others during", "worst loss of a tenant", "all during", "role changes", "shed"})
	for _, name := range sortedKeys(line.Policies) {
		each := line.Policies[name]
		writer.AppendRow(table.Row{
			name, percent(each.OthersBefore), percent(each.OthersDuring), percent(each.WorstLoss), percent(each.Goodput),
			each.RoleChanges, percent(each.Shed),
		})
	}
	heading := fmt.Sprintf("%s, seed %d: %s sends %d times its share\n", line.Deployment, line.Seed, floodTenant, floodFactor)
	if _, err := io.WriteString(out, heading+writer.Render()+"\n"); err != nil {
		return errors.Wrap(err, "experiment: write the table")
	}
	return writeJSON(out, line)
}
