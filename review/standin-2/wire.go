package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireText []byte

// configuration is the operator's configuration, which lies in the store.
//
//go:embed config.json
var configuration []byte

// wire holds the names of the users' pages, which the project's own code keeps in one package.
var wire = readWire()

// wireNames are the names that the stand-ins use.
type wireNames struct {
	RequestID   string `json:"requestID"`
	Deadline    string `json:"deadline"`
	Signature   string `json:"signature"`
	Expect      string `json:"expect"`
	Instance    string `json:"instance"`
	NotExecuted string `json:"notExecuted"`
	ConfigKey   string `json:"configKey"`
	WorkerKeys  string `json:"workerKeys"`
}

func readWire() wireNames {
	var names wireNames
	if err := json.Unmarshal(wireText, &names); err != nil {
		panic(err)
	}
	return names
}
