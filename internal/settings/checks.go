package settings

import (
	"fmt"
	"net"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"k8s.io/apimachinery/pkg/util/validation"
	"k8s.io/apimachinery/pkg/util/validation/field"
)

const maxPort = 65535

// checkName checks the name of a process or a zone.
func checkName(path *field.Path, name string) field.ErrorList {
	if name == "" {
		return field.ErrorList{field.Required(path, "must be a name like router-a-1")}
	}
	var errs field.ErrorList
	for _, detail := range validation.IsDNS1123Label(name) {
		errs = append(errs, field.Invalid(path, name, detail))
	}
	return errs
}

// checkAddress checks a host:port. Listeners may leave the host out; port 0 asks for a free one.
func checkAddress(path *field.Path, address string, listener bool) field.ErrorList {
	if address == "" {
		return field.ErrorList{field.Required(path, "must be host:port, for example 127.0.0.1:7100")}
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return field.ErrorList{field.Invalid(path, address, "must be host:port, for example 127.0.0.1:7100")}
	}
	var errs field.ErrorList
	if host == "" && !listener {
		errs = append(errs, field.Invalid(path, address, "must name a host"))
	}
	lowest := 1
	if listener {
		lowest = 0
	}
	if number, err := strconv.Atoi(port); err != nil || number < lowest || number > maxPort {
		errs = append(errs, field.Invalid(path, address, fmt.Sprintf("must have a port from %d to %d", lowest, maxPort)))
	}
	return errs
}

// checkEndpoint checks one or several URLs with commas between.
func checkEndpoint(path *field.Path, endpoint string) field.ErrorList {
	if endpoint == "" {
		return field.ErrorList{field.Required(path, "must be a URL like http://127.0.0.1:7000")}
	}
	var errs field.ErrorList
	for part := range strings.SplitSeq(endpoint, ",") {
		parsed, err := url.Parse(strings.TrimSpace(part))
		if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
			errs = append(errs, field.Invalid(path, part, "must be a URL like http://127.0.0.1:7000"))
		}
	}
	return errs
}

// checkDuration checks that a time lies within bounds, both included.
func checkDuration(path *field.Path, value Duration, lowest, highest time.Duration) field.ErrorList {
	if value.Duration() >= lowest && value.Duration() <= highest {
		return nil
	}
	return field.ErrorList{field.Invalid(path, value.String(), fmt.Sprintf("must be from %s to %s", lowest, highest))}
}

// checkNumber checks that a number lies within bounds, both included.
func checkNumber[T int | int64 | uint32 | float64](path *field.Path, value, lowest, highest T) field.ErrorList {
	if value >= lowest && value <= highest {
		return nil
	}
	return field.ErrorList{field.Invalid(path, value, fmt.Sprintf("must be from %v to %v", lowest, highest))}
}

// checkOneOf checks that a word is one of those allowed.
func checkOneOf(path *field.Path, value string, allowed []string) field.ErrorList {
	if slices.Contains(allowed, value) {
		return nil
	}
	return field.ErrorList{field.NotSupported(path, value, allowed)}
}
