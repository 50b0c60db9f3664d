package daemon

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"strings"
	"syscall"
	"time"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/settings"
)

// fileEvery is the time between two looks at the settings file, which may
// change without a signal.
const fileEvery = 2 * time.Second

// reloader reads the settings file again after SIGHUP, and when it changed.
type reloader struct {
	daemon *Daemon
	path   string
	// loaded are the settings in force; modified is the file's time then.
	loaded   settings.Settings
	modified time.Time
}

func newReloader(d *Daemon, path string, loaded settings.Settings) *reloader {
	r := &reloader{daemon: d, path: path, loaded: loaded}
	r.modified = r.fileTime()
	return r
}

func (r *reloader) fileTime() time.Time {
	info, err := os.Stat(r.path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// run looks until ctx ends. It never cuts a request.
func (r *reloader) run(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(fileEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			r.reload("signal")
		case <-ticker.C:
			if at := r.fileTime(); !at.Equal(r.modified) {
				r.modified = at
				r.reload("file")
			}
		}
	}
}

// reload reads the file and says which sections changed. A file with a fault
// changes nothing.
func (r *reloader) reload(why string) {
	next, err := settings.Load(r.path)
	if err != nil {
		r.daemon.Log.Event(events.SettingsRefused, events.F("why", why), events.F("cause", err))
		return
	}
	changed := changedSections(r.loaded, next)
	r.loaded = next
	r.daemon.Log.Event(events.SettingsRead, events.F("why", why), events.F("changed", strings.Join(changed, ",")))
}

// changedSections names the sections in which two settings differ.
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
