package cluster

import (
	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/store"
)

// configure takes an item that may hold one of the two parts of the configuration. A part that is not valid, or not newer
// than the one in force, changes nothing.
func (v *View) configure(item store.Item) {
	switch {
	case v.decoder.IsConfiguration(item.Key):
		v.configureBase(item)
	case item.Key == configuration.StoreKey:
		v.configureLabels(item)
	}
}

// configureBase takes the routes and services.
func (v *View) configureBase(item store.Item) {
	base, err := v.decoder.Configuration(item.Value)
	if err == nil {
		err = base.Validate()
	}
	if err != nil {
		v.complain(err)
		return
	}
	if v.base != nil && base.Version <= v.base.Version {
		return
	}
	v.base = base
	v.tellConfiguration()
}

// configureLabels takes the groups and rules by labels.
func (v *View) configureLabels(item store.Item) {
	document, err := configuration.Decode(item.Value)
	if err != nil {
		v.complain(err)
		return
	}
	snapshot, err := configuration.Compile(document)
	if err != nil {
		v.complain(err)
		return
	}
	byLabels := snapshot.Routing()
	if v.byLabels != nil && byLabels.Revision <= v.byLabels.Revision {
		return
	}
	v.byLabels = byLabels
	v.setDocument(document)
	v.tellConfiguration()
}

// tellConfiguration tells both parts together. Without routes there is nothing to serve yet. Parts that do not fit each other,
// as when a service is gone from which a group selects, leave the routes in force alone.
func (v *View) tellConfiguration() {
	if v.base == nil {
		return
	}
	merged := v.base.WithLabels(v.byLabels)
	if err := merged.Validate(); err != nil {
		v.complain(errors.Wrap(err, "step join the routes with the rules by labels"))
		merged = v.base
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
