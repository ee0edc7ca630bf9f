package configuration

import "k8s.io/apimachinery/pkg/labels"

// formatLabels writes labels in order of key, for example "class=quick,tenant=a".
func formatLabels(set map[string]string) string { return labels.Set(set).String() }
