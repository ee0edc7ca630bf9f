package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// reloadPoll is how often a file is looked at that may change without a signal.
const reloadPollInterval = 2 * time.Second

// Hangups returns a channel that gets each SIGHUP from now on. The signal never ends the process after that, neither before
// it is ready nor while it stops.
func NotifyHangup() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// OnChange calls a function when a hangup comes or a file has changed, until the context ends.
func OnChange(ctx context.Context, hangups <-chan os.Signal, path string, onChange func()) {
	ticker := time.NewTicker(reloadPollInterval)
	defer ticker.Stop()
	lastModTime := modTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if modTime(path).Equal(lastModTime) {
				continue
			}
		}
		lastModTime = modTime(path)
		onChange()
	}
}

// modified returns when a file was changed last, or the zero time.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
