package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"
)

// trafficSizes are the fleets whose traffic is measured, in routers.
var trafficSizes = []int{10, 40, 160, 320}

// traffic returns the bytes and envelopes that one member sent a second over a time: the mean and the largest bytes.
func (n *network) traffic(duration time.Duration) (mean, largest, envelopes float64) {
	for _, node := range n.nodes {
		node.bytes, node.sent = 0, 0
	}
	n.run(duration)
	running := n.running()
	total := float64(len(running)) * duration.Seconds()
	sent := lo.Map(running, func(node *node, _ int) int { return node.bytes })
	count := lo.SumBy(running, func(node *node) int { return node.sent })
	return float64(lo.Sum(sent)) / total, float64(lo.Max(sent)) / duration.Seconds(), float64(count) / total
}

// TestTrafficOfAMemberDoesNotGrowWithTheFleet bounds what a member sends at rest, and after a twentieth of the fleet died.
func TestTrafficOfAMemberDoesNotGrowWithTheFleet(t *testing.T) {
	const quiet, churn = 1000, 20000 // bytes a second
	for _, size := range []int{10, 160} {
		t.Run(fmt.Sprintf("%d members", size), func(t *testing.T) {
			n := newNetwork(7)
			n.startFleet(size)
			n.await(t, 10*time.Second, alive)
			n.run(30 * time.Second)
			if mean, largest, _ := n.traffic(20 * time.Second); largest > quiet {
				t.Errorf("at rest %.0f bytes a second, at most %.0f", mean, largest)
			}
			for i := range max(1, size/20) {
				n.nodes[name(2+i)].down = true
			}
			if mean, largest, _ := n.traffic(5 * time.Second); largest > churn {
				t.Errorf("after deaths %.0f bytes a second, at most %.0f", mean, largest)
			}
		})
	}
}

// BenchmarkTraffic reports the time until all know all from a cold start, and the traffic of one member in bytes a second:
// in the first five seconds, at rest, and in the ten seconds after a twentieth of the fleet died.
func BenchmarkTraffic(b *testing.B) {
	for _, size := range trafficSizes {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			for range b.N {
				n := newNetwork(7)
				n.startFleet(size)
				start, largestStart, _ := n.traffic(5 * time.Second)
				b.ReportMetric(start, "start-B/s")
				b.ReportMetric(largestStart, "start-max-B/s")
				n.run(60 * time.Second)
				rest, largestRest, envelopes := n.traffic(20 * time.Second)
				b.ReportMetric(rest, "rest-B/s")
				b.ReportMetric(largestRest, "rest-max-B/s")
				b.ReportMetric(envelopes, "rest-msg/s")
				for i := range max(1, size/20) {
					n.nodes[name(2+i)].down = true
				}
				begin := n.now
				deaths, largestDeaths, _ := n.traffic(5 * time.Second)
				b.ReportMetric(deaths, "deaths-B/s")
				b.ReportMetric(largestDeaths, "deaths-max-B/s")
				n.await(b, 20*time.Second, n.actual)
				b.ReportMetric(n.now.Sub(begin).Seconds(), "detect-s")
			}
		})
	}
}

// BenchmarkColdStart reports the time until all know all.
func BenchmarkColdStart(b *testing.B) {
	for _, size := range trafficSizes {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			for range b.N {
				n := newNetwork(8)
				n.startFleet(size)
				b.ReportMetric(n.await(b, 30*time.Second, alive).Seconds(), "virtual-s")
			}
		})
	}
}
