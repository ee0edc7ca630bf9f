// Package settings loads the settings of a gateway from a YAML file, which the caller reads at startup and whenever the file
// changes. In production the platform generates the file from the template deploy/gateway.yaml.
package settings

import (
	"fmt"
	"net"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/gateway"
	"github.com/granitebay/granitebay/internal/strictyaml"
)

// PathVariable is the environment variable that holds the path of the settings file.
const PathVariable = "GRANITEBAY_CONFIG"

// settingsFile is the schema of the settings file. Addresses have the form IP:PORT.
type settingsFile struct {
	// Name of the gateway, unique within the fleet. Required.
	Name string `json:"name"`
	// Zone of the gateway, which prefers workers in its own zone.
	Zone string `json:"zone"`
	// Cores is the number of CPU cores available to the process; may be a fraction.
	Cores float64 `json:"cores"`
	// LinkMbps is the network bandwidth of the machine in Mbit/s; 0 means unknown.
	LinkMbps float64 `json:"linkMbps"`
	// Descriptors is the file descriptor limit of the process; 0 means unknown.
	Descriptors int `json:"descriptors"`
	// MemoryMB is the memory that the process may use, in MiB.
	MemoryMB float64        `json:"memoryMb"`
	Limits   limitSettings  `json:"limits"`
	Listen   listenSettings `json:"listen"`
	// Seeds are control addresses of gateways through which this one finds the fleet. Some may be unreachable, and the
	// gateway's own address is ignored.
	Seeds []string `json:"seeds"`
	// FirstStart is set when the whole fleet starts for the first time, so that none of the retry budget can have been spent.
	FirstStart bool `json:"firstStart"`
	// Store is the address of the store. Required.
	Store   string           `json:"store"`
	Timings timingSettings   `json:"timings"`
	Retries retrySettings    `json:"retries"`
	Copies  copySettings     `json:"copies"`
	Duties  platformSettings `json:"duties"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"logLevel"`
}

// limitSettings bound what callers make the gateway hold; 0 stands for a share of the machine.
type limitSettings struct {
	// RequestMB is the memory that requests may hold together while they arrive and are served, in MiB.
	RequestMB float64 `json:"requestMb"`
	// CallerConnections and DirectoryConnections are how many connections listen.callers and listen.directory hold at a time.
	CallerConnections    int `json:"callerConnections"`
	DirectoryConnections int `json:"directoryConnections"`
	// ReceiveKB is the size of the receive buffer of a connection, in KiB.
	ReceiveKB int `json:"receiveKb"`
}

// listenSettings are the addresses that a gateway listens on.
type listenSettings struct {
	// Callers, Ready, Directory and Peers are required.
	Callers   string `json:"callers"`
	Ready     string `json:"ready"`
	Directory string `json:"directory"`
	// Peers receives datagrams from other gateways.
	Peers string `json:"peers"`
	// Control serves other gateways; empty disables it.
	Control string `json:"control"`
	// Admin serves the operator API and metrics; empty disables it.
	Admin string `json:"admin"`
}

// timingSettings are time limits of the deployment.
type timingSettings struct {
	// Grace limits the duration of a graceful shutdown.
	Grace strictyaml.Duration `json:"grace"`
	// AddressTTL is how long callers cache addresses, at most MaximumAddressTTL.
	AddressTTL        strictyaml.Duration `json:"addressTTL"`
	MaximumAddressTTL strictyaml.Duration `json:"maximumAddressTTL"`
	// Lease is the TTL of leases in the store. It is raised to MinimumLease if shorter.
	Lease        strictyaml.Duration `json:"lease"`
	MinimumLease strictyaml.Duration `json:"minimumLease"`
	// Configuration is the time within which a new configuration must reach each gateway, and the maximum age of one that may be
	// used to reject a request.
	Configuration strictyaml.Duration `json:"configuration"`
	// Drain is how long a leaving worker keeps accepting requests that are already on their way.
	Drain strictyaml.Duration `json:"drain"`
	// Contact is the time within which callers must be served again after the gateway has lost its paths to workers that other gateways reach;
	// 0s disables connections through other gateways.
	Contact strictyaml.Duration `json:"contact"`
	// Thaw is how long after a suspension or stall of the process the gateway gives no orders.
	Thaw strictyaml.Duration `json:"thaw"`
}

// retrySettings set the retry budget of all gateways together: in each Window at most Ratio times the requests plus Allowance.
type retrySettings struct {
	Ratio     float64             `json:"ratio"`
	Allowance float64             `json:"allowance"`
	Window    strictyaml.Duration `json:"window"`
}

// copySettings limit the copies of runs that engines keep for this gateway, in groups whose engines keep copies.
type copySettings struct {
	// Bytes bounds the size of all copies; 0 asks for none.
	Bytes int64 `json:"bytes"`
}

// platformSettings configure the calls to the platform that one gateway makes on behalf of all.
type platformSettings struct {
	// Address receives the calls; empty disables them.
	Address string `json:"address"`
	// UsageWindow is the length of the reporting windows for tenant usage; 0s disables reports.
	UsageWindow strictyaml.Duration `json:"usageWindow"`
	// UsageDue is the time after the end of a window by which its report is due.
	UsageDue strictyaml.Duration `json:"usageDue"`
}

// Numbers of bytes of a KiB and of a MiB.
const (
	bytesPerKB = 1 << 10
	bytesPerMB = 1 << 20
)

// defaultFile returns the settings that apply where the file sets none. The required fields are empty.
func defaultFile() settingsFile {
	settings := gateway.DefaultSettings()
	return settingsFile{
		Cores:    settings.Cores,
		MemoryMB: float64(settings.MemoryBytes) / bytesPerMB,
		Timings: timingSettings{
			Grace: strictyaml.Duration(settings.Grace), AddressTTL: strictyaml.Duration(settings.AddressTTL),
			MaximumAddressTTL: strictyaml.Duration(settings.MaxAddressTTL), Lease: strictyaml.Duration(settings.LeaseTTL),
			Configuration: strictyaml.Duration(settings.ConfigurationAge),
			Drain:         strictyaml.Duration(settings.DrainTime), Thaw: strictyaml.Duration(settings.ResumeDelay),
		},
		Retries:  retrySettings{Ratio: settings.RetryRatio, Allowance: settings.RetryAllowance, Window: strictyaml.Duration(settings.RetryWindow)},
		LogLevel: settings.LogLevel,
	}
}

// Load reads a settings file. The error lists every field that is unknown, missing or out of range.
func Load(path string) (*gateway.Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrapf(err, "read settings file %s", path)
	}
	return Parse(content)
}

// Parse parses and validates the content of a settings file.
func Parse(content []byte) (*gateway.Settings, error) {
	f := defaultFile()
	err := strictyaml.Parse(content, &f)
	var fieldErrors strictyaml.FieldErrors
	errors.As(err, &fieldErrors)
	if fieldErrors = append(fieldErrors, f.validate()...); len(fieldErrors) > 0 {
		return nil, errors.Wrap(fieldErrors, "validate settings")
	}
	return f.toSettings(), nil
}

// toSettings converts the file to the settings of a gateway.
func (f *settingsFile) toSettings() *gateway.Settings {
	s := gateway.DefaultSettings()
	s.Name, s.Zone, s.Cores = f.Name, f.Zone, f.Cores
	s.LinkMbps, s.Descriptors = f.LinkMbps, f.Descriptors
	s.MemoryBytes, s.RequestBytes = int64(f.MemoryMB*bytesPerMB), int64(f.Limits.RequestMB*bytesPerMB)
	s.CallerConnections, s.DirectoryConnections = f.Limits.CallerConnections, f.Limits.DirectoryConnections
	s.ReceiveBytes = f.Limits.ReceiveKB * bytesPerKB
	s.ListenCallers, s.ListenReady, s.ListenDirectory = f.Listen.Callers, f.Listen.Ready, f.Listen.Directory
	s.ListenPeers, s.ListenControl, s.ListenAdmin = f.Listen.Peers, f.Listen.Control, f.Listen.Admin
	s.Seeds = slices.DeleteFunc(slices.Clone(f.Seeds), func(seed string) bool { return seed == f.Listen.Control })
	s.FirstStart, s.StoreAddress = f.FirstStart, f.Store
	s.Grace, s.DrainTime, s.ResumeDelay = f.Timings.Grace.Std(), f.Timings.Drain.Std(), f.Timings.Thaw.Std()
	s.ContactTime = f.Timings.Contact.Std()
	s.AddressTTL, s.MaxAddressTTL = f.Timings.AddressTTL.Std(), f.Timings.MaximumAddressTTL.Std()
	s.LeaseTTL = max(f.Timings.Lease.Std(), f.Timings.MinimumLease.Std())
	s.RetryRatio, s.RetryAllowance, s.RetryWindow = f.Retries.Ratio, f.Retries.Allowance, f.Retries.Window.Std()
	s.CopyBytes = f.Copies.Bytes
	s.ConfigurationAge = f.Timings.Configuration.Std()
	s.PlatformAddress, s.UsageWindow, s.UsageDue = f.Duties.Address, f.Duties.UsageWindow.Std(), f.Duties.UsageDue.Std()
	s.LogLevel = f.LogLevel
	return s
}

// validate returns an error for each field that is missing or out of range.
func (f *settingsFile) validate() strictyaml.FieldErrors {
	v := &validator{}
	if f.Name == "" {
		v.addError("name", f.Name, "is missing", "a name that no other gateway has")
	}
	v.checkPositive("cores", f.Cores)
	v.checkPositive("memoryMb", f.MemoryMB)
	v.checkNotNegative("limits.requestMb", f.Limits.RequestMB)
	v.checkNotNegative("limits.callerConnections", float64(f.Limits.CallerConnections))
	v.checkNotNegative("limits.directoryConnections", float64(f.Limits.DirectoryConnections))
	v.checkNotNegative("limits.receiveKb", float64(f.Limits.ReceiveKB))
	v.checkNotNegative("linkMbps", f.LinkMbps)
	v.checkNotNegative("descriptors", float64(f.Descriptors))
	v.checkAddress("listen.callers", f.Listen.Callers, true)
	v.checkAddress("listen.ready", f.Listen.Ready, true)
	v.checkAddress("listen.directory", f.Listen.Directory, true)
	v.checkAddress("listen.peers", f.Listen.Peers, true)
	v.checkAddress("listen.control", f.Listen.Control, false)
	v.checkAddress("listen.admin", f.Listen.Admin, false)
	for i, seed := range f.Seeds {
		v.checkAddress(fmt.Sprintf("seeds[%d]", i), seed, true)
	}
	v.checkAddress("store", f.Store, true)
	v.checkDuration("timings.grace", f.Timings.Grace, true)
	v.checkDuration("timings.addressTTL", f.Timings.AddressTTL, true)
	v.checkDuration("timings.maximumAddressTTL", f.Timings.MaximumAddressTTL, true)
	v.checkDuration("timings.lease", f.Timings.Lease, true)
	v.checkDuration("timings.minimumLease", f.Timings.MinimumLease, false)
	v.checkDuration("timings.configuration", f.Timings.Configuration, true)
	v.checkDuration("timings.drain", f.Timings.Drain, false)
	v.checkDuration("timings.contact", f.Timings.Contact, false)
	v.checkDuration("timings.thaw", f.Timings.Thaw, false)
	v.checkNotNegative("retries.ratio", f.Retries.Ratio)
	v.checkNotNegative("retries.allowance", f.Retries.Allowance)
	v.checkDuration("retries.window", f.Retries.Window, true)
	v.checkNotNegative("copies.bytes", float64(f.Copies.Bytes))
	v.checkAddress("duties.address", f.Duties.Address, false)
	v.checkDuration("duties.usageWindow", f.Duties.UsageWindow, false)
	v.checkDuration("duties.usageDue", f.Duties.UsageDue, false)
	if _, err := logrus.ParseLevel(f.LogLevel); err != nil {
		v.addError("logLevel", f.LogLevel, "is not a log level", "debug, info, warn or error")
	}
	return v.errs
}

// validator collects the errors of one file.
type validator struct{ errs strictyaml.FieldErrors }

// addError records one error.
func (v *validator) addError(field string, value any, problem, allowed string) {
	v.errs = append(v.errs, strictyaml.FieldError{Field: field, Value: strictyaml.FormatValue(value), Problem: problem, Allowed: allowed})
}

// checkAddress checks that a value has the form of IP:PORT. It does not check the IP address and the port.
func (v *validator) checkAddress(field, value string, required bool) {
	if value == "" && !required {
		return
	}
	if _, _, err := net.SplitHostPort(value); err != nil {
		v.addError(field, value, "is not an address", "IP:PORT")
	}
}

func (v *validator) checkPositive(field string, value float64) {
	if !(value > 0) {
		v.addError(field, value, "is not positive", "a number above 0")
	}
}

func (v *validator) checkNotNegative(field string, value float64) {
	if !(value >= 0) {
		v.addError(field, value, "is negative", "a number of at least 0")
	}
}

func (v *validator) checkDuration(field string, value strictyaml.Duration, positive bool) {
	if value < 0 || (positive && value == 0) {
		v.addError(field, value, "is out of range", fmt.Sprintf("a duration above 0s, for example %s", 3*time.Second))
	}
}
