package processtest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// logTailBytes bounds what an error repeats of the log of a process.
const logTailBytes = 2000

// Process is one process of a fleet.
type Process struct {
	// Name of the process, unique in the fleet.
	Name string
	// Address at which it is reached: callers for agents, peers for routers, HTTP for stand-ins.
	Address string

	program   string
	arguments []string
	logPath   string
	command   *exec.Cmd
	ended     chan struct{}
	// expected is set once the process was told to end.
	expected bool
}

// start starts the process, or starts it again after it ended. Its log is appended to a file.
func (p *Process) start() error {
	log, err := os.OpenFile(p.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrapf(err, "step open the log: process %s", p.Name)
	}
	defer func() { _ = log.Close() }()
	p.command = exec.Command(p.program, p.arguments...)
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return errors.Wrapf(err, "step start: process %s", p.Name)
	}
	p.expected = false
	ended := make(chan struct{})
	p.ended = ended
	command := p.command
	go func() {
		defer close(ended)
		_ = command.Wait()
	}()
	return nil
}

// PID returns the process id.
func (p *Process) PID() int { return p.command.Process.Pid }

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() error {
	p.expected = true
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.ended
	return nil
}

// Freeze stops the process from running until Thaw.
func (p *Process) Freeze() error { return p.signal(syscall.SIGSTOP) }

// Thaw lets a frozen process run again.
func (p *Process) Thaw() error { return p.signal(syscall.SIGCONT) }

// Terminate asks the process to end with SIGTERM, and waits until it has. A process that does not end in time, or ends
// with another code than 0, is an error.
func (p *Process) Terminate(patience time.Duration) error {
	p.expected = true
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.ended:
	case <-time.After(patience):
		return errors.Newf("step terminate: process %s still runs after %s", p.Name, patience)
	}
	if code := p.command.ProcessState.ExitCode(); code != 0 {
		return errors.Newf("step terminate: process %s ended with code %d: %s", p.Name, code, p.logTail())
	}
	return nil
}

// Restart starts a process that has ended again, with the same arguments.
func (p *Process) Restart() error { return p.start() }

func (p *Process) signal(signal syscall.Signal) error {
	return errors.Wrapf(p.command.Process.Signal(signal), "step signal %s: process %s", signal, p.Name)
}

// running tells whether the process has not ended.
func (p *Process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// failure returns an error if the process ended on its own.
func (p *Process) failure() error {
	if p.running() || p.expected {
		return nil
	}
	return errors.Newf("process %s ended on its own: %s: %s", p.Name, p.command.ProcessState, p.logTail())
}

func (p *Process) logTail() string {
	data, err := os.ReadFile(p.logPath)
	if err != nil {
		return fmt.Sprintf("no log: %s", err)
	}
	return string(data[max(0, len(data)-logTailBytes):])
}

func logPath(directory, name string) string { return filepath.Join(directory, name+".log") }
