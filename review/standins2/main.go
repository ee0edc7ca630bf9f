// Command standins2 plays the cases of the second review that are scripts. It starts gateways as processes of their own, before stand-ins of the
// platform's store, of workers and of clients, all on loopback, and judges what the clients and the workers saw.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Names that all cases use.
const (
	host       = "ficu95.example"
	healthPath = "/health"
)

// caseRun is one play of a case.
type caseRun struct {
	program, folder string
	// trouble is set if the disruption is played.
	trouble bool
	store   *store
	record  *recorder

	mutex     sync.Mutex
	isStopped bool
	gateways  []*gatewayProcess
}

// stop ends all processes of the case, and lets none start any more.
func (r *caseRun) stop() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.isStopped = true
	for _, g := range r.gateways {
		g.stop()
	}
}

func main() {
	// Gateways end with the thread that started them.
	runtime.LockOSThread()
	name := flag.String("case", "", "case to play")
	program := flag.String("gateway", "", "gateway program")
	recordPath := flag.String("record", "", "file for the record")
	flag.Parse()
	os.Exit(play(*name, *program, *recordPath))
}

// play plays a case and returns the exit code.
func play(name, program, recordPath string) int {
	cases := map[string]func(*caseRun) (bool, error){"denied": runDenied}
	run, found := cases[name]
	if !found {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	output, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer output.Close()
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(folder)
	current := &caseRun{program: program, folder: folder, trouble: os.Getenv("TROUBLE") != "0", record: &recorder{output: output, start: time.Now()}}
	defer current.stop()
	stopOnSignal(current)
	if current.store, err = startStore(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	held, err := run(current)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	case held:
		fmt.Println("the rule held")
		return exitHeld
	default:
		fmt.Println("the rule was broken")
		return exitBroken
	}
}

// stopOnSignal ends all processes of a case when this one is told to stop.
func stopOnSignal(run *caseRun) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-signals
		run.stop()
		_ = os.RemoveAll(run.folder)
		os.Exit(exitNotRun)
	}()
}
