package bench

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/processtest"
)

// clockTick is the unit of processor times in /proc on Linux.
const clockTick = time.Second / 100

// Places of the processor times in /proc/PID/stat after the name of the program, which may hold spaces.
const (
	userTimeField   = 11
	systemTimeField = 12
)

// usage is the processor time of the parts of the fleet so far.
type usage struct{ agent, router time.Duration }

func (m *measurement) usage() (usage, error) {
	agent, err := processorTime(m.fleet.Agents)
	if err != nil {
		return usage{}, err
	}
	router, err := processorTime(m.fleet.Routers)
	return usage{agent: agent, router: router}, err
}

// processorTime sums the processor time of some processes.
func processorTime(processes []*processtest.Process) (time.Duration, error) {
	var sum time.Duration
	for _, process := range processes {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process.PID()))
		if err != nil {
			return 0, errors.Wrapf(err, "step read the processor time: process %s", process.Name)
		}
		spent, err := parseProcessorTime(string(data))
		if err != nil {
			return 0, errors.Wrapf(err, "step read the processor time: process %s", process.Name)
		}
		sum += spent
	}
	return sum, nil
}

// parseProcessorTime reads the user and system time from the text of /proc/PID/stat.
func parseProcessorTime(stat string) (time.Duration, error) {
	fields := strings.Fields(stat[strings.LastIndex(stat, ")")+1:])
	if len(fields) <= systemTimeField {
		return 0, errors.Newf("%d fields in %q", len(fields), stat)
	}
	var ticks int64
	for _, field := range []int{userTimeField, systemTimeField} {
		value, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return 0, errors.Wrapf(err, "field %d of %q", field, stat)
		}
		ticks += value
	}
	return time.Duration(ticks) * clockTick, nil
}
