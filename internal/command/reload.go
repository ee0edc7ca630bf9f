package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// reloadPollInterval is how often the modification time of a file is checked.
const reloadPollInterval = 2 * time.Second

// NotifyHangup returns a channel that receives each SIGHUP. From then on the signal does not end the process, neither
// during startup nor during shutdown.
func NotifyHangup() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// IgnoreBrokenOutput makes writes to a standard output without a reader fail. By default SIGPIPE would end the process.
func IgnoreBrokenOutput() { signal.Ignore(syscall.SIGPIPE) }

// OnChange calls onChange after each hangup and after each change of the modification time of a file, until ctx ends.
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

// modTime returns the modification time of a file, or the zero time.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
