package claim

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/rendezvous"
)

// leaderKey is the key for which the first live router by rendezvous hash changes the view. Two routers may both believe
// that they are first: the compare-and-swap lets one of them win.
const leaderKey = "claim-views"

// tickChange does the next step of a change of the view, if this router is the one that changes it.
func (c *ViewControl) tickChange(now time.Time, effects *core.Effects) {
	if c.views.Sequence == 0 || c.request.id != 0 || !c.leads() {
		return
	}
	if c.views.Pending != nil {
		c.tickPending(now, effects)
		return
	}
	if at := c.proposeAt(); !at.IsZero() && !now.Before(at) {
		c.propose(now, effects)
	}
}

// changeWake tells when tickChange is due next; the zero time means not before something else happens.
func (c *ViewControl) changeWake() time.Time {
	if c.views.Sequence == 0 || c.request.id != 0 || !c.leads() {
		return time.Time{}
	}
	if c.views.Pending != nil {
		return atOnce(c.nextSeal)
	}
	if at := c.proposeAt(); !at.IsZero() {
		return lo.Ternary(at.After(c.retryAt), at, c.retryAt)
	}
	return time.Time{}
}

// leads tells whether this router is the one that changes the view.
func (c *ViewControl) leads() bool {
	names := lo.Map(c.live, func(holder Holder, _ int) string { return holder.Name })
	return rendezvous.First(leaderKey, names) == c.settings.Self
}

// updateWanted works out the holders that the live routers call for.
func (c *ViewControl) updateWanted(now time.Time) {
	wanted := wantedHolders(c.live, c.views.Current().Holders)
	if !slices.Equal(wanted, c.wanted) {
		c.wanted = wanted
		c.wantedSince = now
	}
}

// wantedHolders are the live routers. While they are in fewer zones than an id has acceptors, the holders of a zone
// without a live router stay: to keep a zone that may come back is better than to decide with two acceptors in one zone.
func wantedHolders(live, holders []Holder) []Holder {
	if countZones(live) >= intendedAcceptors {
		return live
	}
	zones := lo.Map(live, func(holder Holder, _ int) string { return holder.Zone })
	kept := lo.Reject(holders, func(holder Holder, _ int) bool { return slices.Contains(zones, holder.Zone) })
	return sortedHolders(slices.Concat(live, kept))
}

// sortHolders sorts by name.
func sortHolders(holders []Holder) {
	slices.SortFunc(holders, func(a, b Holder) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), strings.Compare(a.Zone, b.Zone))
	})
}

// proposeAt tells when a new view may be proposed: not before the last one has started. Zero means that none is wanted.
func (c *ViewControl) proposeAt() time.Time {
	current := c.views.Current()
	if len(c.wanted) == 0 || slices.Equal(c.wanted, current.Holders) {
		return time.Time{}
	}
	return slices.MaxFunc([]time.Time{
		c.wantedSince.Add(c.settings.StableFor), c.notBefore, time.UnixMilli(current.StartMilliseconds).Add(c.settings.ClockSkew),
	}, time.Time.Compare)
}

// propose writes a pending view. When several in a row failed, because too many holders could not be asked to seal
// themselves, the next one starts so late that those holders will have stopped to vote on their own.
func (c *ViewControl) propose(now time.Time, effects *core.Effects) {
	start := now.Add(c.settings.Lead)
	if c.blocked >= blockedBeforeForce {
		start = start.Add(c.silentAfter())
	}
	expired := now.Add(-c.settings.Window - 2*c.settings.ClockSkew)
	c.write(now, c.views.withPending(c.wanted, start, expired), effects)
}

// silentAfter is how long after a record was written all routers that do not know it have stopped to vote. Such a router
// last asked for the record before it was written, and votes on ids at most ClockSkew ahead of its clock.
func (c *ViewControl) silentAfter() time.Duration {
	return c.settings.ConfirmationLifetime + 3*c.settings.ClockSkew
}

// tickPending asks the holders to seal themselves, and ends the change when they did or when it is too late.
func (c *ViewControl) tickPending(now time.Time, effects *core.Effects) {
	if !now.Before(c.nextSeal) {
		c.nextSeal = now.Add(c.settings.SealInterval)
		c.askToSeal(effects)
	}
	switch {
	case c.mayCommit():
		c.write(now, c.views.withCommitted(), effects)
	case c.isHopeless(now):
		c.write(now, c.views.withoutPending(), effects)
	}
}

// mayCommit tells whether no request id from the start of the pending view on can be decided in the current view: too
// few of its holders are not sealed, or those have stopped to vote by then. Both stay true while this record holds.
func (c *ViewControl) mayCommit() bool {
	start := time.UnixMilli(c.views.Pending.StartMilliseconds)
	return c.views.Current().sealSuffices(c.sealed) || start.After(c.learnedAt.Add(c.silentAfter()))
}

// isHopeless tells whether to give up the pending view. From its start on, new ids would wait for the holders: rather
// than that, the current view goes on. A start that is far away was meant for silent holders and came too late for that.
func (c *ViewControl) isHopeless(now time.Time) bool {
	left := time.UnixMilli(c.views.Pending.StartMilliseconds).Sub(now)
	return left <= c.settings.Lead/4 || left > 2*c.settings.Lead
}

// decideChange records a change that this router wrote.
func (c *ViewControl) decideChange(done request, effects *core.Effects) {
	before, after := done.known, *done.written
	record := decision.Record{Kind: decision.KindClaim, Inputs: map[string]string{}}
	view := after.Current()
	switch {
	case after.Pending != nil:
		view = *after.Pending
		record.Outcome = "proposed"
		record.Reason = "The live routers are others than the holders of claims."
	case before.Pending == nil:
		record.Outcome = "made"
		record.Reason = "There was no view of claim holders yet."
	case after.Current().Version == before.Pending.Version:
		record.Outcome = "committed"
		record.Reason = "The earlier holders can decide no request from the start of this view on."
	default:
		view = *before.Pending
		record.Outcome = "given up"
		record.Reason = "Too many of the earlier holders did not answer before the start of this view."
	}
	record.Subject = fmt.Sprintf("claim view %d", view.Version)
	record.Inputs["holders"] = joinNames(view.Holders)
	record.Inputs["sealed"] = joinNames(lo.Filter(before.Current().Holders, func(holder Holder, _ int) bool { return done.sealed[holder.Name] }))
	effects.Decide(record)
}

// joinNames lists holders for people.
func joinNames(holders []Holder) string {
	return strings.Join(lo.Map(holders, func(holder Holder, _ int) string { return holder.Name }), " ")
}

// askToSeal asks the holders that have not sealed themselves.
func (c *ViewControl) askToSeal(effects *core.Effects) {
	message := c.views.toMessage()
	for _, holder := range c.views.Current().Holders {
		if address := c.settings.Address(holder.Name); address != "" && !c.sealed[holder.Name] {
			effects.Send(holder.Name, address, &granitebayv1.Envelope{Body: &granitebayv1.Envelope_ClaimSeal{
				ClaimSeal: &granitebayv1.ClaimSeal{Views: message},
			}})
		}
	}
}
