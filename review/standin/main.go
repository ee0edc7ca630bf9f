// Command standin runs the stand-ins of the review: the platform's store and the workers. They follow the users' pages PROTOCOL.md and RULES.md,
// and behave like a sound store and sound workers where the pages are silent.
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin store|worker [flags]")
		os.Exit(2)
	}
	flags := flag.NewFlagSet(os.Args[1], flag.ExitOnError)
	var err error
	switch os.Args[1] {
	case "store":
		listen := flags.String("listen", "", "address of the store's API")
		control := flags.String("control", "", "address for the operator and the workers, who write without the system's limits")
		_ = flags.Parse(os.Args[2:])
		err = runStore(*listen, *control)
	case "worker":
		options := workerOptions{}
		flags.StringVar(&options.id, "id", "", "id of this start of the worker")
		flags.StringVar(&options.service, "service", "", "service")
		flags.StringVar(&options.zone, "zone", "", "zone")
		flags.StringVar(&options.stage, "stage", "", "stage of an engine; empty for a plain worker")
		flags.StringVar(&options.listen, "listen", "", "address")
		flags.StringVar(&options.control, "control", "", "control address of the store")
		flags.StringVar(&options.log, "log", "", "file to which runs are appended")
		flags.IntVar(&options.slots, "slots", 6, "requests at a time")
		flags.IntVar(&options.queue, "queue", 24, "requests that wait for a slot")
		flags.DurationVar(&options.work, "work", 0, "time before the first byte of an answer")
		flags.DurationVar(&options.send, "send", 0, "time between the two halves of an answer, or between two events")
		flags.IntVar(&options.bytes, "bytes", 800, "bytes of an answer")
		flags.IntVar(&options.events, "events", 0, "events of a stream; 0 for plain answers")
		flags.BoolVar(&options.unframed, "unframed", false, "answers have no length and end with their connection")
		_ = flags.Parse(os.Args[2:])
		err = runWorker(options)
	default:
		err = fmt.Errorf("unknown stand-in %q", os.Args[1])
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}
