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

// OnChange calls onChange after each hangup and after each change of the modification time of a file, until ctx ends. Changes that came before the end
// are applied.
func OnChange(ctx context.Context, hangups <-chan os.Signal, path string, onChange func()) {
	newFileWatcher(path).run(ctx, hangups, onChange)
}

// fileWatcher notices changes of a file.
type fileWatcher struct {
	path        string
	lastModTime time.Time
}

// newFileWatcher returns a watcher that notices changes from now on.
func newFileWatcher(path string) *fileWatcher { return &fileWatcher{path, modTime(path)} }

// run implements OnChange.
func (f *fileWatcher) run(ctx context.Context, hangups <-chan os.Signal, onChange func()) {
	ticker := time.NewTicker(reloadPollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		isHangup := false
		select {
		case <-ctx.Done():
			continue
		case <-hangups:
			isHangup = true
		case <-ticker.C:
		}
		if f.changed() || isHangup {
			onChange()
		}
	}
	if f.changed() || len(hangups) > 0 {
		onChange()
	}
}

// changed reports whether the modification time has changed since the last call.
func (f *fileWatcher) changed() bool {
	modified := modTime(f.path)
	isChanged := !modified.Equal(f.lastModTime)
	f.lastModTime = modified
	return isChanged
}

// modTime returns the modification time of a file, or the zero time.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
