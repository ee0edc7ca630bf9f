package fleet

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Request is a request of a simulated client.
type Request struct {
	ID   string
	Path string
	Body string
	// PromptTokens is the length of the prompt; zero for requests to plain workers. Its first SharedTokens are shared with other
	// prompts.
	PromptTokens int
	SharedTokens int
	// SharedPrefix identifies the shared part of the prompt.
	SharedPrefix string
	// Parts are the IDs of further parts of the prompt after the shared one, each of PartTokens. LastPart is the ID of the last part; empty for
	// that of the request.
	Parts    []string
	LastPart string
	Deadline time.Duration
	// APIKey is the key of the client; empty if it sends none.
	APIKey string
	// LastEventID is the id of the last event that the client has of the stream it resumes; empty for a new one. Resumes is the ID of the
	// request that brought the first event of that stream.
	LastEventID string
	Resumes     string
	// AbortAfter makes the client close the connection after a number of complete events; zero if it reads the whole response.
	AbortAfter int
	// OnEvent is called for each complete event that arrives; may be nil.
	OnEvent func()
	// Close asks the gateway to close the connection after the response.
	Close bool
}

// Response is the response that a client received.
type Response struct {
	Status    int
	Signature string
	// Body is without the versions with which workers sign events. Versions are those of the complete events that are signed, in order.
	Body     string
	Versions []string
	// RetryAfter is the Retry-After header of a refusal.
	RetryAfter string
	// Err is set if the response is incomplete.
	Err error
	// ReadByGateway is set if the gateway had read the whole request when it ended the connection without a response.
	ReadByGateway bool
}

// Caller is a simulated client of the gateways. It asks directories with the HTTP client of the standard library.
type Caller struct{ client *http.Client }

// NewCaller returns a client that reuses connections, or opens a new one for each request.
func NewCaller(keepAlive bool) *Caller {
	return &Caller{client: &http.Client{Transport: &http.Transport{
		DisableCompression: true, DisableKeepAlives: !keepAlive, MaxIdleConnsPerHost: 8, ResponseHeaderTimeout: 10 * time.Second,
	}}}
}

// Resolve asks a directory for the addresses of gateways.
func (c *Caller) Resolve(ctx context.Context, directory string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+directory+"/v1/resolve?name="+Host+"&region=r&zone=z", nil)
	if err != nil {
		return nil, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	return answer.Addresses, json.NewDecoder(response.Body).Decode(&answer)
}

// Ready reports whether a gateway is ready for requests.
func (c *Caller) Ready(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/ready", nil)
	if err != nil {
		return false
	}
	response, err := c.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Do sends a request to a gateway on a new connection and reads the whole response.
func (c *Caller) Do(ctx context.Context, gateway string, call Request) Response {
	conn, err := OpenCallerConn(ctx, gateway, func(ctx context.Context, gateway string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp4", gateway)
	})
	if err != nil {
		return Response{Err: err}
	}
	defer conn.Close()
	call.Close = true
	response, _ := conn.Do(ctx, call, NoHalfClose)
	return response
}

// ErrAborted is the error of a response that the client did not read to its end.
var ErrAborted = errors.New("the client has closed the connection after the events it wanted")

// readResponse reads a response to its end, or until the client has the events that it wants.
func (r Request) readResponse(response *http.Response) Response {
	content, err := r.readBody(response.Body)
	body, versions := splitVersions(content)
	return Response{
		Status: response.StatusCode, Signature: response.Header.Get("Response-Signature"), Body: body, Versions: versions,
		RetryAfter: response.Header.Get("Retry-After"), Err: err,
	}
}

// readBody reads the body of a response.
func (r Request) readBody(body io.Reader) (string, error) {
	if r.AbortAfter == 0 && r.OnEvent == nil {
		content, err := io.ReadAll(body)
		return string(content), err
	}
	var content strings.Builder
	reader := bufio.NewReader(body)
	for events := 0; ; {
		line, err := reader.ReadString('\n')
		content.WriteString(line)
		if err != nil {
			return content.String(), ignoreEOF(err)
		}
		if line != "\n" {
			continue
		}
		if r.OnEvent != nil {
			r.OnEvent()
		}
		if events++; events == r.AbortAfter {
			return content.String(), ErrAborted
		}
	}
}

// ignoreEOF returns nil for the regular end of a body.
func ignoreEOF(err error) error {
	if err == io.EOF {
		return nil
	}
	return err
}

// httpRequest returns the HTTP request to a gateway.
func (r Request) httpRequest(ctx context.Context, gateway string) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway+r.Path, strings.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	request.Host, request.Close = Host, r.Close
	request.Header.Set("Request-Id", r.ID)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	if r.APIKey != "" {
		request.Header.Set("Api-Key", r.APIKey)
	}
	if r.LastEventID != "" {
		request.Header.Set("Last-Event-Id", r.LastEventID)
	}
	if r.Resumes != "" {
		request.Header.Set("Resumes", r.Resumes)
	}
	if r.PromptTokens > 0 {
		request.Header.Set("Model", "m")
		request.Header.Set("Token-Count", fmt.Sprintf("%d,30", r.PromptTokens))
		request.Header.Set("Prompt-Prefix", r.promptPrefix())
	}
	return request, nil
}

// PartTokens is the length of each of the Parts of a prompt.
const PartTokens = 50

// promptPrefix returns the parts of the prompt as in the Prompt-Prefix header.
func (r Request) promptPrefix() string {
	var parts strings.Builder
	fmt.Fprintf(&parts, "%s:%d,", r.SharedPrefix, r.SharedTokens)
	for _, part := range r.Parts {
		fmt.Fprintf(&parts, "%s:%d,", part, PartTokens)
	}
	fmt.Fprintf(&parts, "%s:%d", cmp.Or(r.LastPart, r.ID), r.PromptTokens-r.SharedTokens-PartTokens*len(r.Parts))
	return parts.String()
}

// StreamAnswer returns the complete answer of an engine that sends a number of events.
func StreamAnswer(id string, events int) string {
	var stream strings.Builder
	for number := 1; number <= events; number++ {
		stream.WriteString(Event(id, number))
	}
	return stream.String()
}
