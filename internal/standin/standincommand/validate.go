package standincommand

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
)

// Validate checks the flags; kong calls it. All errors are returned together.
func (c *PlatformCommand) Validate() error {
	sizes := lo.MapToSlice(c.ModelSize, func(model string, size int64) error {
		if size >= 0 {
			return nil
		}
		return errors.Newf("--model-size is %s=%d; allowed is MODEL=BYTES with 0 or more bytes", model, size)
	})
	slices.SortFunc(sizes, func(a, b error) int { return cmp.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
	return errors.Join(append(sizes,
		atLeast("--service-rate", c.ServiceRate, 0),
		atLeast("--service-burst", c.ServiceBurst, 1),
		atLeast("--client-rate", c.ClientRate, 0),
		atLeast("--client-burst", c.ClientBurst, 1),
		atLeast("--history", c.History, 1),
		atLeast("--membership-lag", c.MembershipLag, 0),
		atLeast("--member-ttl", c.MemberTTL, 0),
		atLeast("--weights-rate", c.WeightsRate, 0),
		atLeast("--weights-burst", c.WeightsBurst, 0),
		atLeast("--weights-load-rate", c.WeightsLoadRate, 0),
		atLeast("--weights-loads", c.WeightsLoads, 0),
		atLeast("--model-bytes", c.ModelBytes, 0),
	)...)
}

// atLeast checks the value of a flag against the least that is allowed.
func atLeast[Number cmp.Ordered](flag string, value, least Number) error {
	if value >= least {
		return nil
	}
	return errors.Newf("%s is %v; allowed is %v or more", flag, value, least)
}
