package configuration

import "k8s.io/apimachinery/pkg/labels"

// formatLabels formats labels sorted by key, for example "class=quick,tenant=a".
func formatLabels(set map[string]string) string { return labels.Set(set).String() }
