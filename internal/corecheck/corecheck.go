// Package corecheck finds what a protocol core must not do: read the clock, sleep, start goroutines, open sockets or use
// global randomness. Its test runs over all cores.
package corecheck

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
)

// Cores lists the packages that must be pure, below internal/.
var Cores = []string{
	"agent", "claim", "configuration", "core", "dispatch", "ingress", "membership", "ownership", "ownership/backoff",
	"ownership/mirror", "placement", "poolspread", "rendezvous", "rolecontrol", "roleplan", "router",
	"standin/enginemodel", "standin/platformmodel",
}

// forbidden lists what a core must not call, by package name.
var forbidden = map[string][]string{
	"time": {"Now", "Since", "Until", "After", "AfterFunc", "Sleep", "Tick", "NewTimer", "NewTicker"},
	"rand": {"Int", "IntN", "Int64", "Int64N", "Uint32", "Uint64", "Uint64N", "Float64", "Perm", "Shuffle", "N"},
	"net":  {"Dial", "Listen"},
}

// Problems returns what is wrong in one file, one line each.
func Problems(path string, source []byte) []string {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, source, 0)
	if err != nil {
		return []string{err.Error()}
	}
	locals := localNames(file)
	var problems []string
	ast.Inspect(file, func(node ast.Node) bool {
		if problem := problemOf(node, locals); problem != "" {
			problems = append(problems, fmt.Sprintf("%s: %s", files.Position(node.Pos()), problem))
		}
		return true
	})
	return problems
}

// localNames returns the names of parameters and variables that hide a package.
func localNames(file *ast.File) map[string]bool {
	names := make(map[string]bool)
	ast.Inspect(file, func(node ast.Node) bool {
		if field, ok := node.(*ast.Field); ok {
			for _, name := range field.Names {
				names[name.Name] = true
			}
		}
		return true
	})
	return names
}

// problemOf returns what is wrong with a node, or an empty string.
func problemOf(node ast.Node, locals map[string]bool) string {
	switch node := node.(type) {
	case *ast.GoStmt:
		return "a core must not start a goroutine"
	case *ast.SelectorExpr:
		name, ok := node.X.(*ast.Ident)
		if !ok || locals[name.Name] {
			return ""
		}
		for _, call := range forbidden[name.Name] {
			if node.Sel.Name == call {
				return fmt.Sprintf("a core must not use %s.%s", name.Name, call)
			}
		}
	}
	return ""
}
