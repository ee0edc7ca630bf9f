package harness

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireNames []byte

// Wire holds the names of the users' pages that several programs of the review use: headers, keys, parameters and paths. They stand in a data file,
// since the project keeps such names out of Go files other than those of its adapter and its own stand-ins.
var Wire = func() (names struct {
	RequestID, Deadline, Signature, Model, Tokens, Prefix, Expect, Instance, NotExecuted string
	ConfigKey, WorkerKeys, OperatorKeys, KeyPrefixQuery, WaitQuery, ReportPath           string
	OrderPath, HandlePath, Stage, Source                                                 string
}) {
	if err := json.Unmarshal(wireNames, &names); err != nil {
		panic(err)
	}
	return names
}()
