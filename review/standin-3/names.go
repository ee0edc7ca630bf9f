package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesText []byte

// names are the names of the users' pages, which the project's own code keeps in one package.
var names = readNames()

func readNames() map[string]string {
	read := map[string]string{}
	if err := json.Unmarshal(namesText, &read); err != nil {
		panic(err)
	}
	return read
}
