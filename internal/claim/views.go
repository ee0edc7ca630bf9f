package claim

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
)

// ViewsKey is the key of the record of views in the key-value service.
const ViewsKey = "/granitebay/claims/views"

// errNoViews is the failure of a read that found no record.
var errNoViews = errors.New("claim views: no record")

// Views is the record of views. It changes only by compare-and-swap in the key-value service, and its sequence grows by
// one each time. A request id belongs to the latest committed view that starts at or before the time in the id.
type Views struct {
	Sequence uint64 `json:"sequence"`
	// Committed are the views that decide ids, by rising start.
	Committed []View `json:"committed"`
	// Pending is the next view while its holders may not vote yet.
	Pending *View `json:"pending,omitempty"`
}

// InitialViews is the record of one view, which decides all ids.
func InitialViews(holders []Holder) Views {
	return Views{Sequence: 1, Committed: []View{{Version: 1, Holders: holders}}}
}

// Of returns the view that decides ids of a time. There is none for ids from before the oldest view that is kept.
func (v Views) Of(createdAt time.Time) (View, bool) {
	view, _, found := lo.FindLastIndexOf(v.Committed, func(view View) bool { return view.startsBy(createdAt) })
	return view, found
}

// Current returns the committed view that starts last.
func (v Views) Current() View {
	if len(v.Committed) == 0 {
		return View{}
	}
	return v.Committed[len(v.Committed)-1]
}

// isOpen tells whether ids of a time may get votes: from the start of a pending view on they must wait.
func (v Views) isOpen(createdAt time.Time) bool {
	return v.Pending == nil || !v.Pending.startsBy(createdAt)
}

// withPending returns the next record, with a pending view. Views that were superseded before a time are dropped. The
// version of the pending view is the sequence of the record, which no other record has.
func (v Views) withPending(holders []Holder, start, supersededBefore time.Time) Views {
	next := Views{Sequence: v.Sequence + 1, Committed: slices.Clone(v.Committed)}
	next.Pending = &View{Version: next.Sequence, StartMilliseconds: start.UnixMilli(), Holders: slices.Clone(holders)}
	for len(next.Committed) > 1 && next.Committed[1].startsBy(supersededBefore) {
		next.Committed = next.Committed[1:]
	}
	return next
}

// withCommitted returns the next record, in which the pending view is committed.
func (v Views) withCommitted() Views {
	return Views{Sequence: v.Sequence + 1, Committed: append(slices.Clone(v.Committed), *v.Pending)}
}

// withoutPending returns the next record, in which the pending view is given up.
func (v Views) withoutPending() Views {
	return Views{Sequence: v.Sequence + 1, Committed: slices.Clone(v.Committed)}
}

// validate checks a record that came from elsewhere.
func (v Views) validate() error {
	views := v.Committed
	if v.Pending != nil {
		views = append(slices.Clone(views), *v.Pending)
	}
	if v.Sequence == 0 || len(v.Committed) == 0 {
		return errors.New("claim views: no sequence or no committed view")
	}
	for i := 1; i < len(views); i++ {
		if views[i].StartMilliseconds <= views[i-1].StartMilliseconds || views[i].Version <= views[i-1].Version {
			return errors.Newf("claim views: view %d does not follow view %d", views[i].Version, views[i-1].Version)
		}
	}
	return nil
}

// encode renders the record as it stands in the key-value service.
func (v Views) encode() ([]byte, error) {
	value, err := json.Marshal(v)
	return value, errors.Wrap(err, "claim views: write")
}

// parseViews reads the record as it stands in the key-value service.
func parseViews(value []byte) (Views, error) {
	var views Views
	if err := json.Unmarshal(value, &views); err != nil {
		return Views{}, errors.Wrap(err, "claim views: read")
	}
	return views, views.validate()
}

// toMessage maps the record to the message that routers exchange.
func (v Views) toMessage() *granitebayv1.ClaimViews {
	message := &granitebayv1.ClaimViews{
		Sequence:  v.Sequence,
		Committed: lo.Map(v.Committed, func(view View, _ int) *granitebayv1.ClaimView { return view.toMessage() }),
	}
	if v.Pending != nil {
		message.Pending = v.Pending.toMessage()
	}
	return message
}

func (v View) toMessage() *granitebayv1.ClaimView {
	return &granitebayv1.ClaimView{
		Version:           v.Version,
		StartMilliseconds: v.StartMilliseconds,
		Holders: lo.Map(v.Holders, func(holder Holder, _ int) *granitebayv1.ClaimHolder {
			return &granitebayv1.ClaimHolder{Name: holder.Name, Zone: holder.Zone}
		}),
	}
}

// viewsFromMessage maps a message to a record.
func viewsFromMessage(message *granitebayv1.ClaimViews) (Views, error) {
	views := Views{
		Sequence:  message.GetSequence(),
		Committed: lo.Map(message.GetCommitted(), func(view *granitebayv1.ClaimView, _ int) View { return viewFromMessage(view) }),
	}
	if message.GetPending() != nil {
		views.Pending = lo.ToPtr(viewFromMessage(message.GetPending()))
	}
	return views, views.validate()
}

func viewFromMessage(message *granitebayv1.ClaimView) View {
	return View{
		Version:           message.GetVersion(),
		StartMilliseconds: message.GetStartMilliseconds(),
		Holders: lo.Map(message.GetHolders(), func(holder *granitebayv1.ClaimHolder, _ int) Holder {
			return Holder{Name: holder.GetName(), Zone: holder.GetZone()}
		}),
	}
}
