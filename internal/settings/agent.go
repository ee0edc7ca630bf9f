package settings

import (
	"time"

	"k8s.io/apimachinery/pkg/util/validation"
	"k8s.io/apimachinery/pkg/util/validation/field"
)

// Bounds of settings.
const (
	maxStopTimeout   = time.Hour
	maxKeptDecisions = 1 << 20
	maxTimeout       = time.Minute
	maxDeadline      = 24 * time.Hour
	maxBodyBytes     = 1 << 30
	maxTokens        = 1 << 24

	minPlatformTimeout     = 10 * time.Millisecond
	defaultPlatformTimeout = 3 * time.Second
)

// AgentSettings are the static settings of granitebay-agent.
type AgentSettings struct {
	Process
	// ListenCallers is the host:port at which it serves callers. Default 127.0.0.1:7180.
	ListenCallers string `json:"listenCallers"`
	// Routers that it may use. At least one; better two or more of its own zone.
	Routers []Peer `json:"routers"`
	// DefaultTenant is the tenant of requests that name none. Empty: they must name one.
	DefaultTenant string `json:"defaultTenant"`
	// MaxBodyBytes bounds the body of a request, in bytes. Default 4194304.
	MaxBodyBytes int64 `json:"maxBodyBytes"`
	// MaxPromptTokens bounds a prompt, in tokens. Default 32768.
	MaxPromptTokens uint32 `json:"maxPromptTokens"`
	// MaxTokens bounds the tokens that a caller may ask for. Default 8192.
	MaxTokens uint32 `json:"maxTokens"`
	// DefaultMaxTokens is the number of tokens to generate when the caller names none. Default 256.
	DefaultMaxTokens uint32 `json:"defaultMaxTokens"`
	// DefaultDeadline is the time that a request gets when the caller names none. Default 1m.
	DefaultDeadline Duration `json:"defaultDeadline"`
	// MaxDeadline is the longest time that a caller may ask for. Default 15m.
	MaxDeadline Duration `json:"maxDeadline"`
	// SilenceTimeout is how long a router may stay silent before the request goes through another one. Default 1s.
	SilenceTimeout Duration `json:"silenceTimeout"`
	// FirstAnswerTimeout is how long a router may take to answer at all. Default 1s.
	FirstAnswerTimeout Duration `json:"firstAnswerTimeout"`
	// MaxAttempts bounds the attempts in a row that brought nothing. Default 8.
	MaxAttempts int `json:"maxAttempts"`
	// RetryShare is the share of a retry that each answered request pays for. Default 0.2.
	RetryShare float64 `json:"retryShare"`
}

// DefaultAgentSettings returns the settings of an agent with the defaults.
func DefaultAgentSettings() *AgentSettings {
	return &AgentSettings{
		Process:            defaultProcess(),
		ListenCallers:      "127.0.0.1:7180",
		MaxBodyBytes:       4 << 20,
		MaxPromptTokens:    32768,
		MaxTokens:          8192,
		DefaultMaxTokens:   256,
		DefaultDeadline:    Duration(time.Minute),
		MaxDeadline:        Duration(15 * time.Minute),
		SilenceTimeout:     Duration(time.Second),
		FirstAnswerTimeout: Duration(time.Second),
		MaxAttempts:        8,
		RetryShare:         0.2,
	}
}

func defaultProcess() Process {
	return Process{Logging: defaultLogging(), StopTimeout: Duration(30 * time.Second), KeptDecisions: 4096}
}

// Validate returns an *InvalidError that names everything that is wrong.
func (s *AgentSettings) Validate() error { return validate(s) }

func (s *AgentSettings) check() field.ErrorList {
	errs := s.checkProcess()
	errs = append(errs, checkAddress(field.NewPath("listenCallers"), s.ListenCallers, true)...)
	routers := field.NewPath("routers")
	if len(s.Routers) == 0 {
		errs = append(errs, field.Required(routers, "must list at least one router"))
	}
	errs = append(errs, checkPeers(routers, s.Routers)...)
	for _, detail := range validation.IsValidLabelValue(s.DefaultTenant) {
		errs = append(errs, field.Invalid(field.NewPath("defaultTenant"), s.DefaultTenant, detail))
	}
	errs = append(errs, checkNumber(field.NewPath("maxBodyBytes"), s.MaxBodyBytes, 1, maxBodyBytes)...)
	errs = append(errs, checkNumber(field.NewPath("maxPromptTokens"), s.MaxPromptTokens, 1, maxTokens)...)
	errs = append(errs, checkNumber(field.NewPath("maxTokens"), s.MaxTokens, 1, maxTokens)...)
	errs = append(errs, checkNumber(field.NewPath("defaultMaxTokens"), s.DefaultMaxTokens, 1, max(1, s.MaxTokens))...)
	errs = append(errs, checkDuration(field.NewPath("maxDeadline"), s.MaxDeadline, time.Millisecond, maxDeadline)...)
	errs = append(errs, checkDuration(field.NewPath("defaultDeadline"), s.DefaultDeadline, time.Millisecond, max(time.Millisecond, s.MaxDeadline.Duration()))...)
	errs = append(errs, checkDuration(field.NewPath("silenceTimeout"), s.SilenceTimeout, 10*time.Millisecond, maxTimeout)...)
	errs = append(errs, checkDuration(field.NewPath("firstAnswerTimeout"), s.FirstAnswerTimeout, 10*time.Millisecond, maxTimeout)...)
	errs = append(errs, checkNumber(field.NewPath("maxAttempts"), s.MaxAttempts, 1, 1000)...)
	return append(errs, checkNumber(field.NewPath("retryShare"), s.RetryShare, 0.01, 1)...)
}
