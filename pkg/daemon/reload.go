package daemon

import (
	"context"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/settings"
)

// filePollInterval is the time between two checks whether the settings file has changed.
const filePollInterval = 2 * time.Second

// reloader reads the settings file again on SIGHUP and when the file changes, and logs what
// changed. Requests name the service of the new settings as their caller's at once. All other
// settings apply at the next start of the daemon.
type reloader struct {
	daemon *Daemon
	path   string
	// loaded holds the settings as last read from the file, modified the file's
	// modification time then.
	loaded   settings.Settings
	modified time.Time
	// hup receives SIGHUP.
	hup <-chan os.Signal
}

func newReloader(d *Daemon, path string, loaded settings.Settings, hup <-chan os.Signal) *reloader {
	r := &reloader{daemon: d, path: path, loaded: loaded, hup: hup}
	r.modified = r.modTime()
	return r
}

func (r *reloader) modTime() time.Time {
	info, err := os.Stat(r.path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// run checks for signals and changes of the file until ctx is cancelled.
func (r *reloader) run(ctx context.Context) {
	ticker := time.NewTicker(filePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.hup:
			r.reload("signal")
		case <-ticker.C:
			if at := r.modTime(); !at.Equal(r.modified) {
				r.modified = at
				r.reload("file")
			}
		}
	}
}

// reload reads the file and logs which sections changed. If the file is invalid, it logs
// the error and keeps the settings that it read before.
func (r *reloader) reload(trigger string) {
	next, err := settings.Load(r.path)
	if err != nil {
		r.daemon.Log.Event(events.SettingsRefused, events.F("why", trigger), events.F("cause", err))
		return
	}
	changed := changedSections(r.loaded, next)
	if service := next.BackendServer.Service; r.daemon.routed != nil && service != r.loaded.BackendServer.Service {
		r.daemon.routed.forwarder.SetCallerService(service)
	}
	r.loaded = next
	r.daemon.Log.Event(events.SettingsRead, events.F("why", trigger), events.F("changed", strings.Join(changed, ",")))
}

// changedSections returns the names of the sections in which two settings differ.
func changedSections(a, b settings.Settings) []string {
	var out []string
	before, after := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range before.NumField() {
		if !reflect.DeepEqual(before.Field(i).Interface(), after.Field(i).Interface()) {
			out = append(out, before.Type().Field(i).Tag.Get("yaml"))
		}
	}
	return out
}
