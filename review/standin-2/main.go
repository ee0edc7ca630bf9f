// Command standin-2 drives the cases of the second review that are scripts: it starts the project's own gateways as processes, and a store, workers and
// clients as the users' pages describe them.
package main

import (
	"flag"
	"fmt"
	"os"
	"strconv"
)

func main() {
	if len(os.Args) == 4 && os.Args[1] == "worker" {
		slots, err := strconv.Atoi(os.Args[3])
		if err == nil {
			err = runWorker(os.Args[2], slots)
		}
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannot)
	}
	settings := caseSettings{}
	flag.StringVar(&settings.program, "gateway", "target/granitebay-gateway", "program of the gateways")
	flag.StringVar(&settings.folder, "folder", "", "temporary folder")
	flag.StringVar(&settings.recordPath, "record", "", "file for the record")
	flag.BoolVar(&settings.trouble, "trouble", true, "whether the disruption comes")
	name := flag.String("case", "crash-loop", "case to run: crash-loop or last-engine")
	flag.StringVar(&settings.lost, "lost", stageDecode, "stage of the engines that are lost in last-engine")
	flag.Parse()
	endWhenStopped()
	if *name == "last-engine" {
		os.Exit(runLastEngine(settings))
	}
	os.Exit(runCrashLoop(settings))
}

// The results of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// caseSettings configure a case.
type caseSettings struct {
	program, folder, recordPath string
	trouble                     bool
	// lost is the stage of the engines that are lost.
	lost string
}
