package membership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
)

// rumorFactor times the decimal logarithm of the number of members is how often a process passes on one piece of news.
const rumorFactor = 4

// hasNews tells whether there is anything to send at the next moment of gossip.
func (c *Core) hasNews() bool {
	return len(c.quick) > 0 || len(c.table.names) > 1 && (len(c.rumors) > 0 || c.wantRecords)
}

// tickGossip sends news, asks for records, and sends probes that had to wait.
func (c *Core) tickGossip(now time.Time, effects *core.Effects) {
	if now.Sub(c.lastGossip) < c.settings.GossipInterval {
		return
	}
	if c.quickSent > 0 {
		c.lastGossip = now
		c.quickSent = 0
	}
	if c.hasNews() {
		c.sendQuickProbes(now, effects)
		c.gossip(now, c.settings.GossipPeers, effects)
	}
}

// gossip sends news to random members. One of them is asked for records when the last digest differed.
func (c *Core) gossip(now time.Time, count int, effects *core.Effects) {
	c.lastGossip = now
	for i, name := range c.randomPeers(count) {
		probeID := uint64(0)
		if c.wantRecords && i == 0 {
			probeID = c.newProbeID()
		}
		if probeID == 0 && len(c.rumors) == 0 {
			return
		}
		c.sendPing(name, c.table.records[name].member.Address, probeID, "", effects)
	}
}

// updatesFor returns the news for one message: this process, the receiver if it should hear what is held of it, and the
// rumors that were sent least often.
func (c *Core) updatesFor(receiver string) []*granitebayv1.MemberUpdate {
	updates := []*granitebayv1.MemberUpdate{c.self.update()}
	if known, found := c.table.records[receiver]; found && known.concernsItself() {
		updates = append(updates, known.updateForItself())
	}
	names := lo.Keys(c.rumors)
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(c.rumors[a], c.rumors[b]), cmp.Compare(a, b))
	})
	limit := rumorFactor * int(math.Ceil(math.Log10(float64(len(c.table.names)+1))))
	for _, name := range names[:min(len(names), c.settings.MaxUpdatesPerMessage)] {
		if name != c.self.member.Name && name != receiver {
			updates = append(updates, c.table.records[name].update())
		}
		c.rumors[name]++
		if c.rumors[name] >= limit {
			delete(c.rumors, name)
		}
	}
	return updates
}

// recordsFor returns records for the answer to a Ping whose sender knows other members.
func (c *Core) recordsFor(ping *granitebayv1.Ping) []*granitebayv1.MemberUpdate {
	if ping.GetDigest() == c.table.digest {
		return nil
	}
	at, found := slices.BinarySearch(c.table.names, ping.GetRecordsAfter())
	if found {
		at++
	}
	count := min(len(c.table.names), c.settings.MaxUpdatesPerMessage)
	return lo.Times(count, func(i int) *granitebayv1.MemberUpdate {
		return c.table.records[c.table.names[(at+i)%len(c.table.names)]].update()
	})
}

// noteDigest tells from an answer whether to ask for further records.
func (c *Core) noteDigest(ack *granitebayv1.PingAck) {
	c.wantRecords = ack.GetDigest() != c.table.digest
	if last, found := lo.Last(ack.GetRecords()); found {
		c.recordsAfter = last.GetName()
	}
}

// sorted returns a sorted copy.
func sorted(names []string) []string {
	result := slices.Clone(names)
	slices.Sort(result)
	return result
}
