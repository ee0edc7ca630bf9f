package processtest

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/platform"
	"github.com/granitebay/granitebay/internal/platformclient"
)

// What the fleet serves.
const (
	Model   = "roast-verdict"
	Adapter = "subscription"
	Tenant  = "cafe-1"
)

// documentFormat is the configuration of a fleet: one group of all engines, one rule for all requests.
const documentFormat = `
spec:
  models:
    - {name: ` + Model + `, versions: ["1"], adapters: [` + Adapter + `], maximumContextTokens: 32768}
  groups:
    - name: counter
      models:
        - {model: ` + Model + `, version: "1", adapters: [` + Adapter + `], minimumEngines: 1}
      rolePolicy: {allowedRoles: [%s], changeCost: 5, minimumDwell: 30s, maximumChanging: 1}
  rules:
    - name: all
      groups: [counter]
      priority: 5
      defaultDeadline: 30s
      maximumDeadline: 10m
      maximumQueue: 256
`

// document returns the first revision of the configuration.
func document(roles []engine.Role) (configuration.Document, error) {
	names := lo.Map(roles, func(role engine.Role, _ int) string { return string(role) })
	parsed, faults := configuration.ParseAndValidate([]byte(fmt.Sprintf(documentFormat, strings.Join(names, ", "))))
	if len(faults) > 0 {
		return parsed, errors.Wrap(faults, "step parse the configuration")
	}
	parsed.Revision, parsed.ChangeID = 1, "first"
	return parsed, nil
}

// configure writes the first configuration to the key-value service.
func configure(ctx context.Context, endpoint string, roles []engine.Role) error {
	first, err := document(roles)
	if err != nil {
		return err
	}
	value, err := configuration.Encode(first)
	if err != nil {
		return errors.Wrap(err, "step encode the configuration")
	}
	answers := make(chan platform.Response, 1)
	logger := logrus.New()
	logger.SetOutput(io.Discard) // failures come as answers too
	client, err := platformclient.New(platformclient.Options{
		Endpoint:     endpoint,
		Name:         "operator",
		Deliver:      func(response platform.Response) { answers <- response },
		DeliverWatch: func(platform.WatchEvent) {},
		Logger:       logger,
	})
	if err != nil {
		return errors.Wrap(err, "step connect to the platform")
	}
	defer client.Close()
	client.Do(core.PlatformRequest{Request: platform.Transaction{
		Compares: []platform.Compare{{Key: configuration.StoreKey}},
		Puts:     []platform.Put{{Key: configuration.StoreKey, Value: value}},
	}})
	select {
	case answer := <-answers:
		if answer.Failure != platform.FailureNone || !answer.Succeeded {
			return errors.Newf("step write the configuration: refused: %q", answer.Failure)
		}
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "step write the configuration")
	}
}
