package experiment

import (
	"context"
	"slices"

	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"
)

// outcome is what came out of one variant. The run itself is not kept, as it is large.
type outcome struct {
	variant variant
	result  Result
	samples []sample
	goodput []goodputPoint
}

// comparison is one workload under several policies.
type comparison struct {
	workload *Workload
	outcomes []outcome
}

// compare runs all variants, some at once. The results do not depend on how many.
func compare(ctx context.Context, workload *Workload, variants []variant, parallel int) (*comparison, error) {
	outcomes := make([]outcome, len(variants))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, parallel))
	for index, each := range variants {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			finished := simulate(workload, each.policy)
			outcomes[index] = outcome{
				variant: each,
				result:  finished.result(),
				samples: finished.samples,
				goodput: finished.goodputSeries(),
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return &comparison{workload: workload, outcomes: outcomes}, nil
}

// families returns the names of the families, in the order of the variants.
func (c *comparison) families() []string {
	return lo.Uniq(lo.Map(c.outcomes, func(each outcome, _ int) string { return each.variant.family }))
}

// best returns the variant of a family with the highest goodput; of equal ones the first.
func (c *comparison) best(family string) outcome {
	members := lo.Filter(c.outcomes, func(each outcome, _ int) bool { return each.variant.family == family })
	return slices.MaxFunc(members, func(a, b outcome) int {
		switch {
		case a.result.Goodput < b.result.Goodput:
			return -1
		case a.result.Goodput > b.result.Goodput:
			return 1
		default:
			return 0
		}
	})
}

// rows are the lines of tables and JSON: the best of each family, and every static split.
func (c *comparison) rows() []outcome {
	rows := lo.Map(c.families(), func(family string, _ int) outcome {
		chosen := c.best(family)
		return chosen
	})
	for _, each := range c.outcomes {
		if each.variant.family == PolicyBestStatic {
			each.variant.family = each.variant.policy.name
			rows = append(rows, each)
		}
	}
	return rows
}
