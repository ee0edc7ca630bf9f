// Command standin-3 has the stand-ins and the drivers of the cases of the third review: model workers as processes of their own, and one driver a
// case that starts the gateways, the store, the workers and the clients on loopback addresses.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// object is a JSON object.
type object map[string]any

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 worker|reborn|stale|crowd [flags]")
		os.Exit(2)
	}
	flags := flag.NewFlagSet(os.Args[1], flag.ExitOnError)
	switch os.Args[1] {
	case "worker":
		w := &worker{}
		flags.StringVar(&w.id, "id", "", "id")
		flags.StringVar(&w.address, "address", "", "address")
		flags.StringVar(&w.service, "service", "", "service")
		flags.StringVar(&w.zone, "zone", "zone-a", "zone")
		flags.StringVar(&w.storeURL, "store", "", "URL of the store")
		flags.StringVar(&w.stage, "stage", "", "stage")
		flags.IntVar(&w.events, "events", 0, "events of a stream")
		flags.DurationVar(&w.pause, "pause", 30*time.Millisecond, "time between two events")
		flags.BoolVar(&w.namesService, "name-service", false, "plain responses name the service")
		flags.IntVar(&w.slots, "slots", 48, "requests at work at once")
		flags.IntVar(&w.queue, "queue", -1, "requests that may wait; negative: any number")
		flags.IntVar(&w.memory, "memory", 0, "memory in tokens; 0: not played")
		flags.Float64Var(&w.pace, "pace", 0, "tokens of a prompt that are read in a millisecond; 0: not played")
		flags.BoolVar(&w.unframed, "unframed", false, "responses end with their connection")
		_ = flags.Parse(os.Args[2:])
		fmt.Fprintln(os.Stderr, runWorker(w))
		os.Exit(2)
	case "reborn":
		gateway := flags.String("gateway", "", "gateway program")
		record := flags.String("record", "", "file of the record")
		trouble := flags.Bool("trouble", true, "with the disruption")
		course := rebornCourse{}
		flags.BoolVar(&course.newID, "new-id", false, "the worker starts again under a new id")
		flags.IntVar(&course.slots, "slots", 48, "slots of a worker")
		flags.DurationVar(&course.cutFor, "cut", 2*time.Second, "how long the path is cut")
		flags.DurationVar(&course.interval, "interval", 60*time.Millisecond, "time between two requests")
		_ = flags.Parse(os.Args[2:])
		os.Exit(runReborn(*gateway, *record, *trouble, course))
	case "stale":
		gateway := flags.String("gateway", "", "gateway program")
		record := flags.String("record", "", "file of the record")
		trouble := flags.Bool("trouble", true, "with the disruption")
		_ = flags.Parse(os.Args[2:])
		os.Exit(runStale(*gateway, *record, *trouble))
	case "crowd":
		gateway := flags.String("gateway", "", "gateway program")
		record := flags.String("record", "", "file of the record")
		trouble := flags.Bool("trouble", true, "with the disruption")
		_ = flags.Parse(os.Args[2:])
		os.Exit(runCrowd(*gateway, *record, *trouble))
	default:
		fmt.Fprintln(os.Stderr, "unknown command")
		os.Exit(2)
	}
}
