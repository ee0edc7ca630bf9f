package main

import (
	"os"
	"os/exec"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// processes are those that this program has started.
var processes struct {
	mu      sync.Mutex
	started []*exec.Cmd
}

// startProcess starts a command that ends with this program, however that ends.
func startProcess(command *exec.Cmd) error {
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	processes.mu.Lock()
	defer processes.mu.Unlock()
	if err := command.Start(); err != nil {
		return err
	}
	processes.started = append(processes.started, command)
	return nil
}

// endWhenStopped ends all processes, and this one as a case that couldn't run, when it is told to stop or the script that started it has ended.
func endWhenStopped() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	parent := os.Getppid()
	go func() {
		ticker := time.NewTicker(200 * time.Millisecond)
		defer ticker.Stop()
		for os.Getppid() == parent {
			select {
			case <-stop:
				parent = -1
			case <-ticker.C:
			}
		}
		processes.mu.Lock()
		for _, command := range processes.started {
			_ = command.Process.Kill()
		}
		os.Exit(exitCannot)
	}()
}
