package node

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"pomeloway.example/pomeloway/events"
	"pomeloway.example/pomeloway/platform"
)

// settingsPollInterval is how often the settings file is checked, because it may change
// without a signal. A check costs one system call.
const settingsPollInterval = 2 * time.Second

// watchSettings applies the settings file on SIGHUP and when the file has changed.
//
// Without a handler, SIGHUP would end the process, and a reload of a whole zone would end
// all its balancers at once.
func (b *base) watchSettings(ctx context.Context, apply func(*platform.Settings)) error {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	defer signal.Stop(c)
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	appliedModTime := modTime(b.options.Settings)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c:
		case <-t.C:
			if m := modTime(b.options.Settings); m.Equal(appliedModTime) {
				continue
			}
		}
		appliedModTime = modTime(b.options.Settings)
		b.reload(apply)
	}
}

// modTime returns the modification time of the file, or the zero time if it cannot be read.
func modTime(path string) time.Time {
	i, err := os.Stat(path)
	if err != nil {
		return time.Time{} // a file that is being replaced shows as modified at the next check
	}
	return i.ModTime()
}

// reload applies the settings file if it is valid. Settings that cannot change while the
// process runs, such as its addresses, take effect at the next start.
func (b *base) reload(apply func(*platform.Settings)) {
	s, err := platform.LoadSettings(b.options.Settings, b.role)
	if err != nil {
		b.log.Add(events.SettingsRefused, slog.String("error", err.Error()))
		return
	}
	b.live.Store(s)
	apply(s)
	b.log.Add(events.SettingsApplied, slog.Int("seeds", len(s.Seeds)), slog.String("store", s.Store),
		slog.Duration("heartbeat", s.Heartbeat), slog.Duration("flowLifetime", s.FlowLifetime))
}
