package cluster

import (
	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/store"
)

// configure takes an item that may hold one of the two parts of the configuration. A part that is not valid, or not newer
// than the one in force, changes nothing.
func (v *View) applyConfiguration(item store.Item) {
	switch {
	case v.decoder.IsConfiguration(item.Key):
		v.applyBaseConfiguration(item)
	case item.Key == configuration.StoreKey:
		v.applyLabelConfiguration(item)
	}
}

// configureBase takes the routes and services.
func (v *View) applyBaseConfiguration(item store.Item) {
	configuration, err := v.decoder.Configuration(item.Value)
	if err == nil {
		err = configuration.Validate()
	}
	if err != nil {
		v.reportUnreadable(err)
		return
	}
	if v.baseConfiguration != nil && configuration.Version <= v.baseConfiguration.Version {
		return
	}
	v.baseConfiguration = configuration
	v.publishConfiguration()
}

// configureLabels takes the groups and rules by labels.
func (v *View) applyLabelConfiguration(item store.Item) {
	document, err := configuration.Decode(item.Value)
	if err != nil {
		v.reportUnreadable(err)
		return
	}
	snapshot, err := configuration.Compile(document)
	if err != nil {
		v.reportUnreadable(err)
		return
	}
	labelConfiguration := snapshot.Routing()
	if v.labelConfiguration != nil && labelConfiguration.Revision <= v.labelConfiguration.Revision {
		return
	}
	v.labelConfiguration = labelConfiguration
	v.setDocument(document)
	v.publishConfiguration()
}

// tellConfiguration tells both parts together. Without routes there is nothing to serve yet. Parts that do not fit each other,
// as when a service is gone from which a group selects, leave the routes in force alone.
func (v *View) publishConfiguration() {
	if v.baseConfiguration == nil {
		return
	}
	merged := v.baseConfiguration.WithLabels(v.labelConfiguration)
	if err := merged.Validate(); err != nil {
		v.reportUnreadable(errors.Wrap(err, "step join the routes with the rules by labels"))
		merged = v.baseConfiguration
	}
	v.listener.ConfigurationChanged(merged)
}

// setDocument keeps the document of the groups and rules by labels.
func (v *View) setDocument(document configuration.Document) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.document = document
}

// Document returns the document of the groups and rules by labels; the zero document before the first.
func (v *View) Document() configuration.Document {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.document
}
