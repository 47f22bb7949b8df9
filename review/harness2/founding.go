//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// killedBeforeFounding: at the first start of the system, one process of the core is killed before the first configuration, and is back
// within a second with its disk. The operator then sends the first configuration until it is acknowledged, and reads it back.
func killedBeforeFounding(r *record, trouble bool) (int, error) {
	f, err := newFleet(r, 1, 3)
	if err != nil {
		return noTrial, err
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return noTrial, err
	}
	if trouble {
		time.Sleep(killAfter)
		r.printf("trouble: %s is killed %d ms after the start of the system", f.cores[0].name, killAfter.Milliseconds())
		<-f.cores[0].signal(syscall.SIGKILL)
	}
	return f.judgeFirstConfiguration()
}

// killAfter is the time from the start of the system to the kill, half a second unless KILL_AFTER names another.
var killAfter = func() time.Duration {
	if d, err := time.ParseDuration(os.Getenv("KILL_AFTER")); err == nil {
		return d
	}
	return 500 * time.Millisecond
}()

// judgeFirstConfiguration sends the first configuration until it is acknowledged, and reads it back.
func (f *fleet) judgeFirstConfiguration() (int, error) {
	r := f.record
	if err := f.configure(configuration(7), firstConfigurationPatience); err != nil {
		r.printf("operator: %v", err)
	}
	for end := time.Now().Add(2 * stableWindow); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, p := range f.cores {
			status, version := f.readBack(p)
			r.printf("operator: read from %s: status %d, version %d", p.name, status, version)
			if status == http.StatusOK && version == 7 {
				return held, nil
			}
		}
	}
	f.fronts[0].send(http.MethodPost, "/orders/first", 4*time.Second)
	r.printf("CONFIG: read back at the end, the configuration does not come; all processes have run for %.0f s", f.cores[0].sinceStart().Seconds())
	return broken, nil
}

// firstConfigurationPatience is far above ack-ms, catch-up-s and recovery-s together.
const firstConfigurationPatience = 30 * time.Second

// readBack reads the configuration from a control instance.
func (f *fleet) readBack(p *process) (status int, version uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/v1/config/read", p.ip, controlPort), nil)
	response, err := plainClient.Do(request)
	if err != nil {
		return 0, 0
	}
	defer response.Body.Close()
	var body struct {
		Version uint64 `json:"version"`
	}
	_ = json.NewDecoder(response.Body).Decode(&body)
	return response.StatusCode, body.Version
}

// logBytes returns the size of the log in a data folder.
func logBytes(folder string) (n int64) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return 0
	}
	for _, e := range entries {
		if info, err := e.Info(); err == nil && (strings.HasPrefix(e.Name(), "log-") || strings.HasPrefix(e.Name(), "snapshot-")) {
			n += info.Size()
		}
	}
	return n
}

// afterLog is the time from the first bytes of the first member's log to the kill.
const afterLog = 50 * time.Millisecond

// killedWhileFounding: at the first start, all processes of the core are killed at the same moment, and are back within a second with
// their disks. The operator then sends the first configuration until it is acknowledged.
func killedWhileFounding(r *record, trouble bool) (int, error) {
	f, err := newFleet(r, 1, 3)
	if err != nil {
		return noTrial, err
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return noTrial, err
	}
	if trouble {
		killFrom := time.Now()
		first := f.cores[0]
		for logBytes(first.dataDir) == 0 && time.Since(killFrom) < 10*time.Second {
			time.Sleep(time.Millisecond)
		}
		empty := logBytes(first.dataDir) // a header
		for logBytes(first.dataDir) == empty && time.Since(killFrom) < 10*time.Second {
			time.Sleep(time.Millisecond)
		}
		r.printf("%s has written its log: %d bytes before, %d now", first.name, empty, logBytes(first.dataDir))
		for _, p := range f.cores {
			r.printf("%s: %d bytes in %s", p.name, logBytes(p.dataDir), filepath.Base(p.dataDir))
		}
		time.Sleep(afterLog)
		r.printf("trouble: all processes of the core are killed, %d ms after the start", time.Since(killFrom).Milliseconds())
		for _, p := range f.cores {
			p.signal(syscall.SIGKILL)
		}
	}
	return f.judgeFirstConfiguration()
}
