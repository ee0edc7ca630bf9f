package forward

import (
	"context"
	"io"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/poison"
	"github.com/granitebay/granitebay/internal/routing"
	"github.com/granitebay/granitebay/internal/tenant"
	"github.com/granitebay/granitebay/internal/tenantlimit"
)

// Settings of the request path.
type Settings struct {
	// NotReadyRetryAfter is told to callers while no configuration is known.
	NotReadyRetryAfter time.Duration
	// StoppingRetryAfter is told to callers of a gateway that takes no new requests any more.
	StoppingRetryAfter time.Duration
	// RefusedRetryAfter is told to callers when no worker takes their request.
	RefusedRetryAfter time.Duration
	// JudgedRetryAfter is told to callers whose request may have ended workers, until that is judged: a little longer than it takes.
	VerdictRetryAfter time.Duration
	// HoldShare is the part of its objective for which a request waits while a role is gone and is expected back within that time: a
	// caller that comes back earns less than one that was served at once, and one that waited for nothing is lost to it.
	HoldFraction float64
	// LeastTime is the remaining time below which a request is not offered to a worker.
	MinRemaining time.Duration
}

// DefaultSettings of the request path.
func DefaultSettings() Settings {
	return Settings{
		NotReadyRetryAfter: 200 * time.Millisecond,
		StoppingRetryAfter: 10 * time.Millisecond,
		RefusedRetryAfter:  150 * time.Millisecond,
		VerdictRetryAfter:  250 * time.Millisecond,
		HoldFraction:       0.5,
		MinRemaining:       15 * time.Millisecond,
	}
}

// Handler serves the requests of callers.
type Handler struct {
	settings             Settings
	protocol             Protocol
	labelled             LabelledProtocol
	workers              Workers
	tenants              *tenantlimit.Limiter
	recent               recentLabels
	dispatcher           *Dispatcher
	observer             Observer
	guard                *poison.Guard
	isConfigurationFresh func() bool
	onTenantStart        func(tenant string)
	closerOf             func(ctx context.Context) Closer
	exclusive            exclusiveRuns

	table            atomic.Pointer[routing.Table]
	closeConnections atomic.Bool
	stopping         atomic.Bool
	active           atomic.Int64
}

// NewHandler returns a handler that knows no configuration and refuses every request.
func NewHandler(settings Settings, protocol Protocol, workers Workers, dispatcher *Dispatcher, observer Observer) *Handler {
	return &Handler{
		settings: settings, protocol: protocol, workers: workers, dispatcher: dispatcher, observer: observer,
		tenants: tenantlimit.New(dispatcher.places),
	}
}

// ServeLabelled makes the handler serve requests that are matched by labels, besides those that are matched by path. It is
// called before the first request.
func (h *Handler) ServeLabelled(protocol LabelledProtocol) { h.labelled = protocol }

// SetFreshness tells the handler how to ask whether the configuration is known to be fresh. Without it every configuration is. It
// is called before the first request.
func (h *Handler) SetFreshness(isFresh func() bool) { h.isConfigurationFresh = isFresh }

// GuardWorkers has a guard keep requests that end workers from further ones. It is called before the first request.
func (h *Handler) GuardWorkers(guard *poison.Guard) { h.guard = guard }

// CountUsage tells the handler whom to tell that a request of a tenant has begun to run. It is called before the first request.
func (h *Handler) CountUsage(onStart func(tenant string)) { h.onTenantStart = onStart }

// NameClosers tells the handler how to ask who ended the connection on which the request of a context came. Without it that is always
// the caller. It is called before the first request.
func (h *Handler) NameClosers(closerOf func(ctx context.Context) Closer) { h.closerOf = closerOf }

// SetTable puts a configuration in force for the requests that come from now on.
func (h *Handler) SetTable(table *routing.Table) {
	h.dispatcher.SetGroups(table.Configuration().Groups)
	h.table.Store(table)
}

// Table returns the configuration in force, or nil.
func (h *Handler) Table() *routing.Table { return h.table.Load() }

// Leave makes every answer ask its caller to close the connection.
func (h *Handler) Leave() { h.closeConnections.Store(true) }

// Stop makes the handler refuse new requests. Those in hand are finished.
func (h *Handler) Stop() {
	h.closeConnections.Store(true)
	h.stopping.Store(true)
}

// Active returns the number of requests in hand.
func (h *Handler) Active() int64 { return h.active.Load() }

// ServeHTTP is part of http.Handler.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	arrived := time.Now()
	// The date is the worker's to give.
	writer.Header()["Date"] = nil
	if h.closeConnections.Load() {
		writer.Header().Set("Connection", "close")
	}
	report := Report{Arrived: arrived, Target: incoming.Host + pathOf(incoming), Caller: incoming.RemoteAddr}
	action := h.serveRecovering(writer, incoming, &report)
	extendWriteDeadline(writer, report.deadline)
	report.Ended = time.Now()
	h.recordUnanswered(incoming.Context(), &report, action)
	h.observer.RequestEnded(&report)
	if action == connAbort {
		panic(http.ErrAbortHandler)
	}
}

// serveGuarded answers one request. A panic is reported like any other end, with the id of the request.
func (h *Handler) serveRecovering(writer http.ResponseWriter, incoming *http.Request, report *Report) (action connAction) {
	defer func() {
		if value := recover(); value != nil {
			report.Reason, report.Err = ReasonPanic, &PanicError{Value: value, Stack: debug.Stack()}
			action = connAbort
		}
	}()
	return h.serve(writer, incoming, report)
}

// noteUnanswered notes in a report whether the connection ended before the caller had a whole answer, and by whom. An answer of the
// gateway's own is sent after this, so it arrives nowhere when the connection has ended.
func (h *Handler) recordUnanswered(ctx context.Context, report *Report, action connAction) {
	report.Unanswered = action == connAbort || (ctx.Err() != nil && report.FirstByte.IsZero())
	switch {
	case !report.Unanswered:
	case report.Reason == ReasonPanic:
		report.ClosedBy = CloserPanic
	case action == connAbort && report.Reason != ReasonCallerGone:
		report.ClosedBy = CloserBrokenAnswer
	case h.closerOf != nil:
		report.ClosedBy = h.closerOf(ctx)
	}
}

// finish says how the connection of a caller goes on.
type connAction int

const (
	// finishWhole means that a whole answer was written.
	connKeep connAction = iota
	// finishAbort closes the connection, so that an answer that broke off does not look whole.
	connAbort
)

// serve answers one request.
func (h *Handler) serve(writer http.ResponseWriter, incoming *http.Request, report *Report) connAction {
	table := h.table.Load()
	switch {
	case table == nil:
		return respondRetryAfter(writer, report, ReasonNotReady, h.settings.NotReadyRetryAfter)
	case h.stopping.Load():
		return respondRetryAfter(writer, report, ReasonStopping, h.settings.StoppingRetryAfter)
	}
	limits := &table.Configuration().Limits
	if limits.MaxHeaderBytes > 0 && headerBytes(incoming) > limits.MaxHeaderBytes {
		return respondError(writer, report, http.StatusRequestHeaderFieldsTooLarge, ReasonInvalid)
	}
	protocol, match, found := h.match(table, incoming)
	if !found {
		return h.respondDenied(writer, report, http.StatusNotFound, ReasonNoRule)
	}
	report.Rule, report.Group, report.Version = match.Rule.Name, match.Group.Name, table.Configuration().Version
	owner, known := tenantOf(table.Configuration(), match.Rule, protocol.Key(incoming))
	if !known {
		return h.respondDenied(writer, report, http.StatusUnauthorized, ReasonUnknownKey)
	}
	request, err := protocol.Read(incoming)
	if err != nil {
		report.Err = err
		return respondError(writer, report, http.StatusBadRequest, ReasonInvalid)
	}
	if owner != nil {
		request.Tenant = owner.Name()
	}
	report.Request = request
	deadline := deadlineFor(report.Arrived, match.Rule, request)
	report.deadline = deadline
	ctx, cancel := context.WithDeadlineCause(incoming.Context(), deadline, errDeadline)
	defer cancel()
	status, err := readBodyByDeadline(writer, incoming, request, limits.MaxBodyBytes, deadline)
	if err != nil {
		report.Err = err
		return respondError(writer, report, status, bodyErrorReason(status))
	}
	if err := protocol.Complete(request); err != nil {
		report.Err = err
		return respondError(writer, report, http.StatusBadRequest, ReasonInvalid)
	}
	guarded := &guardedRequest{guard: h.guard, request: request, rule: match.Rule.Name}
	guardStatus, bar := guarded.status()
	switch guardStatus {
	case poison.Judged:
		return respondRetryAfter(writer, report, ReasonVerdictPending, h.settings.VerdictRetryAfter)
	case poison.Barred:
		report.Asked = &guarded.digest
		report.Err = errors.Newf("step admit: %d workers ended under it: %s; it is barred until %s", len(bar.Workers),
			strings.Join(bar.Workers, ", "), bar.Until.UTC().Format(time.RFC3339))
		return respondError(writer, report, http.StatusUnprocessableEntity, ReasonBarred)
	}
	if !h.tenants.Begin(match.Rule.Name, request.Tenant, match.Rule.TenantInFlight) {
		return respondRetryAfter(writer, report, ReasonTenantLimit, h.settings.RefusedRetryAfter)
	}
	defer h.tenants.End(match.Rule.Name, request.Tenant)
	h.dispatcher.CountRequest(match.Group.Name)
	current := &call{
		handler: h, writer: writer, request: request, match: match, deadline: deadline, report: report, guarded: guarded,
		attempts: attempts{rule: match.Rule, runOnce: request.RunOnce},
		relay:    relay{writer: writer, lastEvent: request.ResumeAfter},
	}
	if labelled, isLabelled := protocol.(LabelledProtocol); isLabelled {
		current.truncationEvent = labelled.BrokenOff
	}
	return current.run(ctx)
}

// ownerOf returns the tenant of a request, nil where none is needed, or false when its key belongs to nobody.
func tenantOf(configuration *routing.Configuration, rule *routing.Rule, key string) (*tenant.Tenant, bool) {
	if configuration.Tenants == nil || rule.Public {
		return nil, true
	}
	return configuration.Tenants.Find(key)
}

// deny tells a caller that the configuration does not allow its request. Where the configuration may be an old one, a newer one
// may allow it: the caller is told to come back, since the request has not run.
func (h *Handler) respondDenied(writer http.ResponseWriter, report *Report, status int, reason Reason) connAction {
	if h.isConfigurationFresh != nil && !h.isConfigurationFresh() {
		return respondRetryAfter(writer, report, ReasonStale, h.settings.NotReadyRetryAfter)
	}
	return respondError(writer, report, status, reason)
}

// match returns the rule of a request, with the protocol in which its caller speaks: the path decides, or else the labels.
func (h *Handler) match(table *routing.Table, incoming *http.Request) (Protocol, routing.Match, bool) {
	if match, found := table.Match(incoming.Host, pathOf(incoming)); found {
		return h.protocol, match, true
	}
	if h.labelled == nil {
		return nil, routing.Match{}, false
	}
	var owner *tenant.Tenant
	if tenants := table.Configuration().Tenants; tenants != nil {
		// A request whose key is unknown is denied once its rule is known.
		owner, _ = tenants.Find(h.labelled.Key(incoming))
	}
	labels, isLabelled := h.labelled.Labels(incoming, owner)
	if !isLabelled {
		return nil, routing.Match{}, false
	}
	h.recent.note(labels)
	match, found := table.MatchLabels(labels)
	return h.labelled, match, found
}

// headBytes returns the size of the head of a request as it came.
func headerBytes(incoming *http.Request) int {
	const separators = len(": ") + len("\r\n")
	size := len(incoming.Method) + len(incoming.RequestURI) + len(incoming.Proto) + len(incoming.Host) + len("Host") + 2*separators
	for name, values := range incoming.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

// pathOf returns the path as the caller wrote it.
func pathOf(incoming *http.Request) string {
	path, _, _ := strings.Cut(incoming.RequestURI, "?")
	if strings.HasPrefix(path, "/") {
		return path
	}
	return incoming.URL.EscapedPath()
}

// deadlineOf returns when the request ends at the latest.
func deadlineFor(arrived time.Time, rule *routing.Rule, request *Request) time.Time {
	limit := rule.Timeout
	if request.Patience > 0 {
		limit = min(limit, request.Patience)
	}
	return arrived.Add(limit)
}

// refuse tells a caller that its request did not run, and when to come back.
func respondRetryAfter(writer http.ResponseWriter, report *Report, reason Reason, after time.Duration) connAction {
	writer.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
	return respondError(writer, report, http.StatusServiceUnavailable, reason)
}

// fail answers with an error of the gateway's own.
func respondError(writer http.ResponseWriter, report *Report, status int, reason Reason) connAction {
	report.Status, report.Reason = status, reason
	body := `{"error":"` + string(reason) + `"}`
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(status)
	_, _ = io.WriteString(writer, body)
	return connKeep
}
