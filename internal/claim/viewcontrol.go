package claim

import (
	"math/rand/v2"
	"time"

	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/ownership/backoff"
	"github.com/granitebay/granitebay/internal/platform"
)

// ViewRequestOwner marks the platform requests of a ViewControl.
const ViewRequestOwner = 5

// retryBase and retryMax bound the pause after a failed request to the key-value service.
const (
	retryBase = 200 * time.Millisecond
	retryMax  = 5 * time.Second
)

// ViewControl keeps the record of views up to date in one router, tells its acceptor, and changes the view when the live
// routers are others than the holders. It is single-threaded.
type ViewControl struct {
	settings ViewSettings
	random   *rand.Rand
	ids      *core.RequestIDs
	backoff  backoff.Backoff

	views Views
	// learnedAt is when this record was first known here.
	learnedAt time.Time
	// revision of the key at which the record was read; zero when it was learned otherwise.
	revision uint64

	// live are the routers that take new work, peers all others that may answer.
	live  []Holder
	peers []Holder
	// wanted are the holders that the live routers call for, since wantedSince.
	wanted      []Holder
	wantedSince time.Time
	// sealed are the holders that sealed themselves by this record.
	sealed map[string]bool
	// blocked counts the pending views in a row that failed for want of sealed holders.
	blocked    int
	notBefore  time.Time
	nextSeal   time.Time
	nextSpread time.Time
	nextPoll   time.Time
	// retryAt is the end of the pause after a request that failed.
	retryAt time.Time

	request request
}

// request is the one request to the key-value service that is under way.
type request struct {
	id     platform.RequestID
	sentAt time.Time
	// known is the record that was known when the request was sent, sealed its sealed holders.
	known  Views
	sealed map[string]bool
	// written is the record that a transaction writes; a read has none.
	written *Views
}

// NewViewControl returns a core that knows no views. Its first Tick asks for them.
func NewViewControl(settings ViewSettings, random *rand.Rand) *ViewControl {
	return &ViewControl{
		settings: settings.withDefaults(),
		random:   random,
		ids:      core.NewRequestIDs(ViewRequestOwner),
		backoff:  backoff.Backoff{Base: retryBase, Max: retryMax},
		sealed:   make(map[string]bool),
	}
}

// Views returns the record that is known; its sequence is zero while none is.
func (c *ViewControl) Views() Views { return c.views }

// ViewOf returns the view that decides a request id, or an empty one when it is not known.
func (c *ViewControl) ViewOf(requestID string) View {
	createdAt, err := CreatedAt(requestID)
	if err != nil {
		return c.views.Current()
	}
	view, _ := c.views.Of(createdAt)
	return view
}

// SetRouters tells which routers take new work, and which others may answer messages. Both without order.
func (c *ViewControl) SetRouters(now time.Time, live, others []Holder) {
	c.live = sortedHolders(live)
	c.peers = sortedHolders(others)
	c.updateWanted(now)
}

// HandleEnvelope takes ClaimViews, ClaimSeal, ClaimSealed and refusals for another view, and ignores other messages.
func (c *ViewControl) HandleEnvelope(now time.Time, envelope *granitebayv1.Envelope, effects *core.Effects) {
	from := envelope.GetFrom()
	switch body := envelope.GetBody().(type) {
	case *granitebayv1.Envelope_ClaimViews:
		c.learnMessage(now, body.ClaimViews)
		if body.ClaimViews.GetSequence() < c.views.Sequence {
			c.sendViews(from.GetName(), from.GetAddress(), effects)
		}
	case *granitebayv1.Envelope_ClaimSeal:
		c.learnMessage(now, body.ClaimSeal.GetViews())
		effects.Send(from.GetName(), from.GetAddress(), &granitebayv1.Envelope{Body: &granitebayv1.Envelope_ClaimSealed{
			ClaimSealed: &granitebayv1.ClaimSealed{Sequence: c.views.Sequence, Sealed: c.settings.Acceptor.Sealed()},
		}})
	case *granitebayv1.Envelope_ClaimSealed:
		if body.ClaimSealed.GetSealed() && body.ClaimSealed.GetSequence() == c.views.Sequence {
			c.sealed[from.GetName()] = true
			c.tickChange(now, effects)
		}
	case *granitebayv1.Envelope_ClaimRefused:
		refused := body.ClaimRefused
		if refused.GetRefusal() == granitebayv1.ClaimRefusal_CLAIM_REFUSAL_VIEW &&
			refused.GetView() != c.ViewOf(refused.GetRequestId()).Version {
			c.sendViews(from.GetName(), from.GetAddress(), effects) // the sender learns, or answers with a later record
		}
	}
}

// Tick runs what is due.
func (c *ViewControl) Tick(now time.Time, effects *core.Effects) {
	if c.request.id != 0 && !now.Before(c.request.sentAt.Add(c.settings.RequestTimeout)) {
		c.request = request{}
		c.retryLater(now, 0)
	}
	c.tickChange(now, effects)
	if c.request.id == 0 && !now.Before(c.nextPoll) {
		c.ask(now, platform.Get{Key: ViewsKey}, nil, effects)
	}
	c.tickSpread(now, effects)
}

// NextWake tells when Tick is due next. What waits for an answer is also looked at whenever one comes.
func (c *ViewControl) NextWake() time.Time {
	wake := core.Earliest(atOnce(c.nextPoll), atOnce(c.nextSpread))
	if c.request.id != 0 {
		wake = core.Earliest(c.request.sentAt.Add(c.settings.RequestTimeout), atOnce(c.nextSpread))
	}
	return core.Earliest(wake, c.changeWake())
}

// atOnce replaces the zero time, which means never to NextWake, by one that is past by any clock.
func atOnce(moment time.Time) time.Time {
	if moment.IsZero() {
		return time.Unix(0, 0)
	}
	return moment
}

// HandlePlatformResponse takes the answer to a request of this core.
func (c *ViewControl) HandlePlatformResponse(now time.Time, response platform.Response, effects *core.Effects) {
	if response.ID == 0 || response.ID != c.request.id {
		return
	}
	answered := c.request
	c.request = request{}
	if response.Failure != platform.FailureNone {
		c.retryLater(now, response.RetryAfter)
		return
	}
	if answered.written == nil {
		c.takeRead(now, answered, response, effects)
	} else {
		c.revision = 0
		c.nextPoll = now // reads the revision, or the record that was there before
		if response.Succeeded {
			c.decideChange(answered, effects)
			c.learn(now, *answered.written)
		}
	}
	c.Tick(now, effects)
}

// takeRead takes the record as it stands in the key-value service.
func (c *ViewControl) takeRead(now time.Time, asked request, response platform.Response, effects *core.Effects) {
	if len(response.Entries) == 0 && c.views.Sequence == 0 && len(c.settings.Holders) > 0 {
		c.write(now, InitialViews(sortedHolders(c.settings.Holders)), effects)
		return
	}
	views, err := Views{}, errNoViews
	if len(response.Entries) > 0 {
		views, err = parseViews(response.Entries[0].Value)
	}
	if err != nil || views.Sequence < asked.known.Sequence {
		c.retryLater(now, 0) // a record that is gone, cannot be read or goes back proves nothing and is not made up again
		return
	}
	c.backoff.Reset()
	c.nextPoll = now.Add(c.settings.PollInterval)
	c.learn(now, views)
	if views.Sequence == c.views.Sequence {
		c.revision = response.Entries[0].ModRevision
	}
	c.settings.Acceptor.Confirm(asked.sentAt)
}

// learn takes a record that stood in the key-value service.
func (c *ViewControl) learn(now time.Time, views Views) {
	if views.Sequence <= c.views.Sequence {
		return
	}
	switch {
	case views.Current().Version != c.views.Current().Version:
		c.blocked = 0
	case c.views.Pending != nil:
		c.blocked++
		c.notBefore = now.Add(c.settings.StableFor)
	}
	c.views = views
	c.learnedAt = now
	c.revision = 0
	c.sealed = make(map[string]bool)
	c.nextSeal = time.Time{}
	c.settings.Acceptor.SetViews(views)
	c.updateWanted(now)
}

// learnMessage takes a record from another router.
func (c *ViewControl) learnMessage(now time.Time, message *granitebayv1.ClaimViews) {
	if message.GetSequence() <= c.views.Sequence {
		return
	}
	if views, err := viewsFromMessage(message); err == nil {
		c.learn(now, views)
	}
}

// write replaces the record by compare-and-swap. Without the revision of the record, it is read first.
func (c *ViewControl) write(now time.Time, next Views, effects *core.Effects) {
	if c.request.id != 0 {
		return
	}
	if c.views.Sequence != 0 && c.revision == 0 {
		if !now.Before(c.retryAt) {
			c.ask(now, platform.Get{Key: ViewsKey}, nil, effects)
		}
		return
	}
	value, err := next.encode()
	if err != nil {
		return
	}
	c.ask(now, platform.Transaction{
		Compares: []platform.Compare{{Key: ViewsKey, ModRevision: c.revision}},
		Puts:     []platform.Put{{Key: ViewsKey, Value: value}},
	}, &next, effects)
}

// ask sends a request to the key-value service.
func (c *ViewControl) ask(now time.Time, asked platform.Request, written *Views, effects *core.Effects) {
	c.request = request{id: c.ids.Next(), sentAt: now, known: c.views, sealed: c.sealed, written: written}
	effects.Ask(c.request.id, asked)
}

// retryLater reads the record again after a pause, because a transaction without an answer may have taken effect.
func (c *ViewControl) retryLater(now time.Time, atLeast time.Duration) {
	c.revision = 0
	c.retryAt = now.Add(c.backoff.Next(c.random, atLeast))
	c.nextPoll = c.retryAt
}

// tickSpread sends the record to a random peer now and then, so that it spreads while the key-value service is down.
func (c *ViewControl) tickSpread(now time.Time, effects *core.Effects) {
	if now.Before(c.nextSpread) {
		return
	}
	c.nextSpread = now.Add(c.settings.SpreadInterval)
	if len(c.peers) > 0 && c.views.Sequence != 0 {
		peer := c.peers[c.random.IntN(len(c.peers))].Name
		c.sendViews(peer, c.settings.Address(peer), effects)
	}
}

// sendViews sends the record to a router.
func (c *ViewControl) sendViews(name, address string, effects *core.Effects) {
	if address == "" || c.views.Sequence == 0 {
		return
	}
	effects.Send(name, address, &granitebayv1.Envelope{Body: &granitebayv1.Envelope_ClaimViews{ClaimViews: c.views.toMessage()}})
}

// sortedHolders returns the holders by name, each once.
func sortedHolders(holders []Holder) []Holder {
	sorted := lo.UniqBy(holders, func(holder Holder) string { return holder.Name })
	sortHolders(sorted)
	return sorted
}
