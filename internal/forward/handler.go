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

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/bytebudget"
	"github.com/granitebay/granitebay/internal/drain"
	"github.com/granitebay/granitebay/internal/intake"
	"github.com/granitebay/granitebay/internal/poison"
	"github.com/granitebay/granitebay/internal/routing"
	"github.com/granitebay/granitebay/internal/tenant"
	"github.com/granitebay/granitebay/internal/tenantlimit"
)

// Settings configure the request path.
type Settings struct {
	// NotReadyRetryAfter is the Retry-After time while no configuration is loaded.
	NotReadyRetryAfter time.Duration
	// StoppingRetryAfter is the Retry-After time of a gateway that is shutting down.
	StoppingRetryAfter time.Duration
	// RefusedRetryAfter is the Retry-After time if no worker accepts the request.
	RefusedRetryAfter time.Duration
	// VerdictRetryAfter is the Retry-After time while the guard determines whether the request crashed workers. It exceeds the duration of
	// that check.
	VerdictRetryAfter time.Duration
	// MaxWaitFraction is the fraction of its objective for which a request may wait for a worker that is expected to accept it within that
	// time. Waiting saves the caller a retry, but a request that waits in vain misses its objective.
	MaxWaitFraction float64
	// MinRemaining is the time before the deadline below which no attempt is started.
	MinRemaining time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		NotReadyRetryAfter: 200 * time.Millisecond,
		StoppingRetryAfter: 10 * time.Millisecond,
		RefusedRetryAfter:  150 * time.Millisecond,
		VerdictRetryAfter:  250 * time.Millisecond,
		MaxWaitFraction:    0.5,
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
	responses            *bytebudget.Budget
	recent               recentLabels
	dispatcher           *Dispatcher
	observer             Observer
	guard                *poison.Guard
	isConfigurationFresh func() bool
	onTenantStart        func(tenant string)
	closerOf             func(ctx context.Context) Closer
	undelivered          func(ctx context.Context) int
	headerSize           func(ctx context.Context) int
	share                func(ctx context.Context) *intake.Conn
	exclusive            exclusiveRuns
	streams              StreamVersions
	confirm              func(ctx context.Context, worker *backend.Worker) error

	table atomic.Pointer[routing.Table]
	// tableSetAt is when table was set; nil while it is nil.
	tableSetAt atomic.Pointer[time.Time]
	// draining is the schedule of the stop; nil before it.
	draining         atomic.Pointer[drain.Schedule]
	closeConnections atomic.Bool
	active           atomic.Int64
}

// NewHandler returns a handler without a routing table, which refuses every request.
func NewHandler(settings Settings, protocol Protocol, workers Workers, dispatcher *Dispatcher, observer Observer) *Handler {
	return &Handler{
		settings: settings, protocol: protocol, workers: workers, dispatcher: dispatcher, observer: observer,
		tenants: tenantlimit.New(dispatcher.concurrencyShareOf), responses: bytebudget.New(maxHeldBytes, smallResponseBytes),
	}
}

// ServeLabelled adds a protocol whose requests are matched by labels when no path matches. It must be called before the first request.
func (h *Handler) ServeLabelled(protocol LabelledProtocol) { h.labelled = protocol }

// SetFreshness sets the function that reports whether the configuration is up to date. Without it, the configuration is assumed to be up to
// date. It must be called before the first request.
func (h *Handler) SetFreshness(isFresh func() bool) { h.isConfigurationFresh = isFresh }

// SetGuard sets the guard that blocks requests which crash workers. It must be called before the first request.
func (h *Handler) SetGuard(guard *poison.Guard) { h.guard = guard }

// SetStreamVersions sets what knows which software version began each stream. Without it, callers can take up a stream at any version. It must
// be called before the first request.
func (h *Handler) SetStreamVersions(streams StreamVersions) { h.streams = streams }

// SetConfirmation sets the function that asks a worker whether it still is the incarnation that its record describes. The error is a
// *ReplacedError if it is another one. Streams that are bound to a software version ask workers whose ids are used again. It must be called
// before the first request.
func (h *Handler) SetConfirmation(confirm func(ctx context.Context, worker *backend.Worker) error) {
	h.confirm = confirm
}

// OnTenantStart sets a callback for each request of a tenant that starts running. It must be called before the first request.
func (h *Handler) OnTenantStart(onStart func(tenant string)) { h.onTenantStart = onStart }

// SetCloserFunc sets the function that returns why the connection of a request was closed. Without it, the caller is always assumed to have
// closed it. It must be called before the first request.
func (h *Handler) SetCloserFunc(closerOf func(ctx context.Context) Closer) { h.closerOf = closerOf }

// SetUndelivered sets the function that returns how many bytes the caller of a request has not acknowledged. It must be called before the first
// request.
func (h *Handler) SetUndelivered(undelivered func(ctx context.Context) int) {
	h.undelivered = undelivered
}

// SetShare sets the function that returns what the connection of a request holds, which may be nil. Without it, requests hold as much as they need. It must
// be called before the first request.
func (h *Handler) SetShare(share func(ctx context.Context) *intake.Conn) { h.share = share }

// shareOf returns what the connection of a request holds; nil if that is not bounded.
func (h *Handler) shareOf(ctx context.Context) *intake.Conn {
	if h.share == nil {
		return nil
	}
	return h.share(ctx)
}

// SetHeaderSize sets the function that returns the size of the header of a request as it arrived, or zero. Without it, the size is estimated. It must be
// called before the first request.
func (h *Handler) SetHeaderSize(headerSize func(ctx context.Context) int) { h.headerSize = headerSize }

// HeaderTooLarge returns the status for a request whose header exceeds the limit of the configuration, and when its caller may come back if the
// configuration may be out of date.
func (h *Handler) HeaderTooLarge() (status int, retryAfter time.Duration) {
	if table := h.table.Load(); table == nil || !h.isUpToDate(table) {
		return http.StatusServiceUnavailable, h.settings.NotReadyRetryAfter
	}
	return http.StatusRequestHeaderFieldsTooLarge, 0
}

// SetTable sets the routing table for new requests.
func (h *Handler) SetTable(table *routing.Table) {
	h.dispatcher.SetGroups(table.Configuration().Groups)
	h.dispatcher.setPriorities(prioritiesOf(table.Configuration()))
	now := time.Now()
	h.table.Store(table)
	h.tableSetAt.Store(&now)
}

// configurationAge returns how long the current routing table had been in force at a time; zero if there is none.
func (h *Handler) configurationAge(now time.Time) time.Duration {
	if setAt := h.tableSetAt.Load(); setAt != nil {
		return now.Sub(*setAt)
	}
	return 0
}

// Table returns the current routing table, or nil.
func (h *Handler) Table() *routing.Table { return h.table.Load() }

// Drain makes the handler stop by a schedule: all responses have "Connection: close" from now on, and new requests are refused once the schedule
// accepts none. Requests in progress are finished.
func (h *Handler) Drain(schedule drain.Schedule) {
	h.draining.Store(&schedule)
	h.closeConnections.Store(true)
}

// accepts reports whether a request that arrives at a time is accepted.
func (h *Handler) accepts(arrived time.Time) bool {
	schedule := h.draining.Load()
	return schedule == nil || schedule.Accepts(arrived)
}

// Active returns the number of requests in progress.
func (h *Handler) Active() int64 { return h.active.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	arrived := time.Now()
	// A nil value keeps net/http from adding a Date header; the worker's is forwarded.
	writer.Header()["Date"] = nil
	if h.closeConnections.Load() {
		closeBehind(writer.Header())
	}
	report := Report{Arrived: arrived, Target: incoming.Host + pathOf(incoming), Caller: incoming.RemoteAddr}
	action := h.serveRecovering(writer, incoming, &report)
	extendWriteDeadline(writer, report.deadline)
	if incoming.ContentLength != 0 && !report.bodyRead {
		boundUnreadBody(writer)
	}
	report.Ended = time.Now()
	report.ConfigurationAge = h.configurationAge(report.Ended)
	h.recordUnanswered(incoming.Context(), &report, action)
	h.observer.RequestEnded(&report)
	if action == connAbort {
		panic(http.ErrAbortHandler)
	}
}

// serveRecovering serves one request and turns a panic into a report.
func (h *Handler) serveRecovering(writer http.ResponseWriter, incoming *http.Request, report *Report) (action connAction) {
	defer func() {
		if value := recover(); value != nil {
			report.Reason, report.Err = ReasonPanic, &PanicError{Value: value, Stack: debug.Stack()}
			action = respondPanic(writer, report)
		}
	}()
	return h.serve(writer, incoming, report)
}

// respondPanic answers a request that caused a panic, and may have run. It aborts the connection if a response has started.
func respondPanic(writer http.ResponseWriter, report *Report) connAction {
	if report.Status != 0 || !report.FirstByte.IsZero() {
		return connAbort
	}
	header := writer.Header()
	clear(header)
	closeBehind(header)
	return respondError(writer, report, http.StatusInternalServerError, ReasonPanic)
}

// recordUnanswered records whether the connection ended before the caller had a complete response, and why it was closed. Responses of the
// gateway itself are still buffered here, so they are lost if the connection has closed.
func (h *Handler) recordUnanswered(ctx context.Context, report *Report, action connAction) {
	isStopping := errors.Is(context.Cause(ctx), drain.ErrGraceOver)
	report.Unanswered = action == connAbort || (ctx.Err() != nil && !isStopping && report.FirstByte.IsZero())
	switch {
	case !report.Unanswered:
	case isStopping:
		report.ClosedBy = CloserShutdown
		h.recordCut(ctx, report)
	case report.Reason == ReasonPanic:
		report.ClosedBy = CloserPanic
	case action == connAbort && report.Reason != ReasonCallerGone:
		report.ClosedBy = CloserTruncatedResponse
	case h.closerOf != nil:
		report.ClosedBy = h.closerOf(ctx)
	}
}

// recordCut records what tells why a response was unfinished at the end of the grace period.
func (h *Handler) recordCut(ctx context.Context, report *Report) {
	if schedule := h.draining.Load(); schedule != nil {
		report.StopBegan = schedule.Begun
	}
	if h.undelivered != nil {
		report.Undelivered = h.undelivered(ctx)
	}
}

// connAction says what happens to the connection after a request.
type connAction int

const (
	// connKeep means that a complete response was written.
	connKeep connAction = iota
	// connAbort closes the connection, so that a truncated response is not taken for a complete one.
	connAbort
)

// serve handles one request.
func (h *Handler) serve(writer http.ResponseWriter, incoming *http.Request, report *Report) connAction {
	table := h.table.Load()
	switch {
	case table == nil:
		return respondRetryAfter(writer, report, ReasonNotReady, h.settings.NotReadyRetryAfter)
	case !h.accepts(report.Arrived):
		return respondRetryAfter(writer, report, ReasonStopping, h.settings.StoppingRetryAfter)
	}
	limits := &table.Configuration().Limits
	if limits.MaxHeaderBytes > 0 && h.headerBytes(incoming) > limits.MaxHeaderBytes {
		return h.respondDenied(writer, report, table, http.StatusRequestHeaderFieldsTooLarge, ReasonInvalid)
	}
	protocol, match, found := h.match(table, incoming)
	if !found {
		return h.respondDenied(writer, report, table, http.StatusNotFound, ReasonNoRule)
	}
	report.Rule, report.Group, report.Version = match.Rule.Name, match.Group.Name, table.Configuration().Version
	owner, known := tenantOf(table.Configuration(), match.Rule, protocol.Key(incoming))
	if !known {
		return h.respondDenied(writer, report, table, http.StatusUnauthorized, ReasonUnknownKey)
	}
	request, err := protocol.Read(incoming)
	if err != nil {
		report.Err = err
		return respondError(writer, report, http.StatusBadRequest, ReasonInvalid)
	}
	if owner != nil {
		request.Tenant = owner.Name()
		request.tenantPriority = owner
	}
	report.Request = request
	deadline := deadlineFor(report.Arrived, match.Rule, request)
	report.deadline = deadline
	ctx, cancel := context.WithDeadlineCause(incoming.Context(), deadline, errDeadline)
	defer cancel()
	body := &bodyReader{
		writer: writer, incoming: incoming, request: request, limit: limits.MaxBodyBytes, deadline: deadline, share: h.shareOf(incoming.Context()),
	}
	if status, err := body.readByDeadline(); err != nil {
		report.Err = err
		return h.respondUnread(writer, report, table, status)
	}
	report.bodyRead = true
	if !body.holdParsed(protocol) {
		return respondRetryAfter(writer, report, ReasonOverload, OverloadRetryAfter)
	}
	if err := protocol.Complete(request); err != nil {
		report.Err = err
		return respondError(writer, report, http.StatusBadRequest, ReasonInvalid)
	}
	resumed, found := h.findStream(ctx, table, &match, request)
	report.Stream, report.Group = resumed, match.Group.Name
	if !found {
		return respondError(writer, report, http.StatusServiceUnavailable, ReasonVersionUnknown)
	}
	// The parts of prompts are those of the group in which the stream goes on.
	guarded := newGuardedRequest(h.guard, request, match)
	defer guarded.end()
	switch guardStatus, bar := guarded.admit(&h.exclusive); guardStatus {
	case poison.Pending:
		return respondRetryAfter(writer, report, ReasonVerdictPending, h.settings.VerdictRetryAfter)
	case poison.Barred:
		return respondBarred(writer, report, guarded, bar)
	}
	if !h.tenants.Begin(match.Rule.Name, request.Tenant, match.Rule.MaxTenantInFlight) {
		return respondRetryAfter(writer, report, ReasonTenantLimit, h.settings.RefusedRetryAfter)
	}
	defer h.tenants.End(match.Rule.Name, request.Tenant)
	h.dispatcher.CountRequest(match.Group.Name)
	held := h.responses.Reserve()
	defer held.Release()
	current := &call{
		handler: h, writer: writer, request: request, match: match, deadline: deadline, report: report, guarded: guarded,
		attempts: attempts{rule: match.Rule, runOnce: request.RunOnce}, stream: resumed,
		relay: relay{writer: writer, deadline: deadline, lastEvent: request.ResumeAfter, begun: request.ResumeAfter != "", held: held},
	}
	current.streamRef = streamOf(table, match.Rule, request)
	current.relay.onStart = func() { report.FirstByte = time.Now() }
	current.relay.eventArrived = &report.EventArrived
	if labelled, isLabelled := protocol.(LabelledProtocol); isLabelled {
		current.newTruncationEvent = labelled.TruncationEvent
	}
	return current.run(ctx)
}

// respondUnread responds to a request whose body could not be read.
func (h *Handler) respondUnread(writer http.ResponseWriter, report *Report, table *routing.Table, status int) connAction {
	switch status {
	case http.StatusRequestEntityTooLarge:
		return h.respondDenied(writer, report, table, status, ReasonInvalid)
	case http.StatusServiceUnavailable:
		return respondRetryAfter(writer, report, ReasonOverload, OverloadRetryAfter)
	default:
		return respondError(writer, report, status, bodyErrorReason(status))
	}
}

// tenantOf returns the tenant that a key belongs to, nil if the rule needs none, or false if the key is unknown.
func tenantOf(configuration *routing.Configuration, rule *routing.Rule, key string) (*tenant.Tenant, bool) {
	if configuration.Tenants == nil || rule.Public {
		return nil, true
	}
	return configuration.Tenants.Find(key)
}

// respondDenied rejects a request that the configuration of a table does not allow. If that configuration may be out of date, the caller is
// told to retry instead.
func (h *Handler) respondDenied(writer http.ResponseWriter, report *Report, table *routing.Table, status int, reason Reason) connAction {
	if !h.isUpToDate(table) {
		return respondRetryAfter(writer, report, ReasonStale, h.settings.NotReadyRetryAfter)
	}
	return respondError(writer, report, status, reason)
}

// isUpToDate reports whether the configuration of a table may be used to reject a request.
func (h *Handler) isUpToDate(table *routing.Table) bool {
	// A table that replaced this one since may be what is up to date.
	return h.isConfigurationFresh == nil || (h.isConfigurationFresh() && h.table.Load() == table)
}

// match returns the rule of a request and the protocol that its caller uses. The path is matched first, then the labels.
func (h *Handler) match(table *routing.Table, incoming *http.Request) (Protocol, routing.Match, bool) {
	if match, found := table.Match(incoming.Host, pathOf(incoming)); found {
		return h.protocol, match, true
	}
	if h.labelled == nil {
		return nil, routing.Match{}, false
	}
	var owner *tenant.Tenant
	if tenants := table.Configuration().Tenants; tenants != nil {
		// An unknown key is rejected once the rule has been found.
		owner, _ = tenants.Find(h.labelled.Key(incoming))
	}
	labels, isLabelled := h.labelled.Labels(incoming, owner)
	if !isLabelled {
		return nil, routing.Match{}, false
	}
	h.recent.add(labels)
	match, found := table.MatchLabels(labels)
	return h.labelled, match, found
}

// headerBytes returns the size of the header of a request as it arrived, or an estimate if that is not known.
func (h *Handler) headerBytes(incoming *http.Request) int {
	if h.headerSize != nil {
		if size := h.headerSize(incoming.Context()); size > 0 {
			return size
		}
	}
	return parsedHeaderBytes(incoming)
}

// parsedHeaderBytes returns the size of the request line and the headers as they are usually written.
func parsedHeaderBytes(incoming *http.Request) int {
	const separators = len(": ") + len("\r\n")
	size := len(incoming.Method) + len(incoming.RequestURI) + len(incoming.Proto) + len(incoming.Host) + len("Host") + 2*separators
	for name, values := range incoming.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

// pathOf returns the path as the caller sent it, without normalization.
func pathOf(incoming *http.Request) string {
	path, _, _ := strings.Cut(incoming.RequestURI, "?")
	if strings.HasPrefix(path, "/") {
		return path
	}
	return incoming.URL.EscapedPath()
}

// deadlineFor returns the deadline of a request.
func deadlineFor(arrived time.Time, rule *routing.Rule, request *Request) time.Time {
	limit := rule.Timeout
	if request.CallerTimeout > 0 {
		limit = min(limit, request.CallerTimeout)
	}
	return arrived.Add(limit)
}

// respondRetryAfter tells the caller that its request did not run and when to retry.
func respondRetryAfter(writer http.ResponseWriter, report *Report, reason Reason, after time.Duration) connAction {
	writer.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
	return respondError(writer, report, http.StatusServiceUnavailable, reason)
}

// respondError sends an error response generated by the gateway.
func respondError(writer http.ResponseWriter, report *Report, status int, reason Reason) connAction {
	report.Status, report.Reason = status, reason
	body := `{"error":"` + string(reason) + `"}`
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(status)
	_, _ = io.WriteString(writer, body)
	return connKeep
}
