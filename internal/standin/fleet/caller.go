package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Asked is a request as a stand-in caller sends it.
type Request struct {
	ID   string
	Path string
	Body string
	// Tokens of the prompt, zero for requests to plain workers; Shared of them begin other prompts too.
	PromptTokens int
	SharedTokens int
	// Subject names the shared part.
	SharedPrefix string
	Deadline     time.Duration
}

// Answered is what a caller got.
type Response struct {
	Status    int
	Signature string
	Body      string
	// RetryAfter is set with a refusal that names the time to come back.
	RetryAfter string
	// Err is set when the answer is not whole.
	Err error
}

// Caller asks gateways as the platform's callers do.
type Caller struct{ client *http.Client }

// NewCaller returns a caller that keeps connections, or opens a new one for each request.
func NewCaller(keepAlive bool) *Caller {
	return &Caller{client: &http.Client{Transport: &http.Transport{
		DisableCompression: true, DisableKeepAlives: !keepAlive, MaxIdleConnsPerHost: 8, ResponseHeaderTimeout: 10 * time.Second,
	}}}
}

// Resolve asks a directory where to connect.
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

// Ready asks whether a gateway takes requests.
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

// Ask sends a request to a gateway and reads the answer to its end.
func (c *Caller) Do(ctx context.Context, gateway string, call Request) Response {
	request, err := call.httpRequest(ctx, gateway)
	if err != nil {
		return Response{Err: err}
	}
	response, err := c.client.Do(request)
	if err != nil {
		return Response{Err: err}
	}
	defer response.Body.Close()
	return readResponse(response)
}

// answered reads an answer to its end.
func readResponse(response *http.Response) Response {
	content, err := io.ReadAll(response.Body)
	return Response{
		Status: response.StatusCode, Signature: response.Header.Get("Response-Signature"), Body: string(content),
		RetryAfter: response.Header.Get("Retry-After"), Err: err,
	}
}

// request returns the request as it is sent to a gateway.
func (a Request) httpRequest(ctx context.Context, gateway string) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway+a.Path, strings.NewReader(a.Body))
	if err != nil {
		return nil, err
	}
	request.Host = Host
	request.Header.Set("Request-Id", a.ID)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(a.Deadline.Milliseconds(), 10))
	if a.PromptTokens > 0 {
		request.Header.Set("Model", "m")
		request.Header.Set("Token-Count", fmt.Sprintf("%d,30", a.PromptTokens))
		request.Header.Set("Prompt-Prefix", fmt.Sprintf("%s:%d,%s:%d", a.SharedPrefix, a.SharedTokens, a.ID, a.PromptTokens-a.SharedTokens))
	}
	return request, nil
}

// StreamAnswer is the whole answer of an engine that sends so many events.
func StreamAnswer(id string, events int) string {
	var stream strings.Builder
	for number := 1; number <= events; number++ {
		stream.WriteString(Event(id, number))
	}
	return stream.String()
}
