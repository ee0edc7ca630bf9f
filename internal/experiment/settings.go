package experiment

import "github.com/granitebay/granitebay/internal/roleplan"

// planSettings are the settings of the role plan for the engines of experiments.
func planSettings() roleplan.Settings {
	settings := roleplan.DefaultSettings()
	engines := engineSettings("")
	settings.ChangeTime = engines.RoleChangeTime + engines.LoadReportInterval + engines.LoadReportLag
	return settings
}
