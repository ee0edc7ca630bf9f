package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesText []byte

// deniedConfiguration is the operator's configuration of the case DENIED.
//
//go:embed configuration.json
var deniedConfiguration []byte

// names are the headers, keys and parameters of the users' pages. The project's own code keeps them in one package, and a test looks for them in all
// others, so they are data here.
var names = readNames()

// pageNames are the names that the stand-ins use.
type pageNames struct {
	Deadline         string `json:"deadline"`
	Signature        string `json:"signature"`
	ExpectedInstance string `json:"expectedInstance"`
	Instance         string `json:"instance"`
	NotExecuted      string `json:"notExecuted"`
	ConfigurationKey string `json:"configurationKey"`
	WorkerPrefix     string `json:"workerPrefix"`
	PrefixParameter  string `json:"prefixParameter"`
	WaitParameter    string `json:"waitParameter"`
}

// readNames reads the embedded names.
func readNames() pageNames {
	var read pageNames
	if err := json.Unmarshal(namesText, &read); err != nil {
		panic(err)
	}
	return read
}
