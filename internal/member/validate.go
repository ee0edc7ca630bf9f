package member

import (
	"net"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxCores bounds the capacity that a registration or the need of the entries may name, in cores.
const maxCores = 1 << 20

// validate returns why a registration under a key describes no gateway, with all faults at once. Other writers may have left it.
func (g *Gateway) validate(key string) error {
	var errs []error
	if KeyPrefix+g.Name != key {
		errs = append(errs, errors.Newf("field name: %q is not allowed; the key is for %q", g.Name, key[len(KeyPrefix):]))
	}
	for _, field := range []struct {
		name, address string
		isOptional    bool
	}{
		{"address", g.Address, false},
		{"peerAddress", g.PeerAddress, false},
		{"controlAddress", g.ControlAddress, true},
		{"adminAddress", g.AdminAddress, true},
	} {
		if (field.address != "" || !field.isOptional) && !isAddress(field.address) {
			errs = append(errs, errors.Newf("field %s: %q is not allowed; HOST:PORT is needed, with PORT from 1 to 65535", field.name, field.address))
		}
	}
	return errors.Join(append(errs, validateCores(g.Cores))...)
}

// validateCores returns an error if a number of cores is out of range.
func validateCores(cores float64) error {
	if cores >= 0 && cores <= maxCores {
		return nil
	}
	return errors.Newf("field cores: %g is not allowed; it must be from 0 to %d", cores, maxCores)
}

// isAddress reports whether a text is HOST:PORT with a port that can exist.
func isAddress(text string) bool {
	_, port, err := net.SplitHostPort(text)
	number, portErr := strconv.ParseUint(port, 10, 16)
	return err == nil && portErr == nil && number > 0
}
