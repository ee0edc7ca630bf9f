package cluster

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/store"
)

// applyConfiguration applies an item that may hold the base configuration (routes and services) or the label configuration
// (groups and label rules). It ignores those that are invalid or not newer than the current one.
func (v *View) applyConfiguration(item store.Item) {
	switch {
	case v.decoder.IsConfiguration(item.Key):
		v.applyBaseConfiguration(item)
	case item.Key == configuration.StoreKey:
		v.applyLabelConfiguration(item)
	}
}

// applyBaseConfiguration applies the routes and services.
func (v *View) applyBaseConfiguration(item store.Item) {
	configuration, err := v.decoder.Configuration(item.Value)
	if err == nil {
		err = configuration.Validate()
	}
	v.setReadable(item, err == nil)
	if err != nil {
		v.reportInvalid(err)
		return
	}
	if v.baseConfiguration != nil && configuration.Version <= v.baseConfiguration.Version {
		return
	}
	v.baseConfiguration = configuration
	v.publishConfiguration()
}

// applyLabelConfiguration applies the groups and label rules.
func (v *View) applyLabelConfiguration(item store.Item) {
	document, err := configuration.Decode(item.Value)
	if err != nil {
		v.setReadable(item, false)
		v.reportInvalid(err)
		return
	}
	snapshot, err := configuration.Compile(document)
	v.setReadable(item, err == nil)
	if err != nil {
		v.reportInvalid(err)
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

// dropUnreadable forgets the unreadable configurations that all items of the store lack.
func (v *View) dropUnreadable(items []store.Item) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	for key := range v.unreadable {
		if !slices.ContainsFunc(items, func(item store.Item) bool { return item.Key == key }) {
			delete(v.unreadable, key)
		}
	}
}

// setReadable records whether a configuration could be read, or was deleted. A readable one does not outdate an unreadable one
// that is newer.
func (v *View) setReadable(item store.Item, isReadable bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	known, isUnreadable := v.unreadable[item.Key]
	switch {
	case !isReadable:
		v.unreadable[item.Key] = max(known, item.Revision)
	case isUnreadable && item.Revision >= known:
		delete(v.unreadable, item.Key)
	}
}

// publishConfiguration passes the merged configuration to the listener once there is a base configuration. If the merged
// one is invalid, for example because a group selects from a removed service, it passes the base configuration alone.
func (v *View) publishConfiguration() {
	if v.baseConfiguration == nil {
		return
	}
	merged := v.baseConfiguration.WithLabels(v.labelConfiguration)
	if err := merged.Validate(); err != nil {
		v.reportInvalid(errors.Wrap(err, "merge the base configuration with the label configuration"))
		merged = v.baseConfiguration
	}
	v.listener.ConfigurationChanged(merged)
}

// setDocument stores the document of the groups and label rules.
func (v *View) setDocument(document configuration.Document) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.document = document
}

// Document returns the document of the groups and label rules; the zero document if there is none yet.
func (v *View) Document() configuration.Document {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.document
}
