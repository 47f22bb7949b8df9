package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/banyanfront/banyanfront/platform"
)

const (
	// restartPause is how long a process that has ended stays down.
	restartPause = 300 * time.Millisecond
	// stopGrace is the time from SIGTERM to SIGKILL.
	stopGrace = 8 * time.Second
	fleetKey  = "fleet-key-of-a-fault-soak-0123456789"
)

// instance is one process of the system, started again each time it ends.
type instance struct {
	settings platform.Settings
	command  []string
	folder   string
	ledger   *ledger

	mu       sync.Mutex
	child    *exec.Cmd
	lives    int
	expected bool          // the present end was brought about
	retired  bool          // it is not started again
	wipe     bool          // the data folder is emptied before the next start
	ended    chan struct{} // closed at the end of the present life
	paused   pauses
	gone     chan struct{} // closed once it has ended for good
}

// start starts the process.
func (p *instance) start() error {
	p.gone = make(chan struct{})
	if err := p.launch(); err != nil {
		return err
	}
	go p.keep()
	return nil
}

// launch starts the next life.
func (p *instance) launch() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.wipe {
		p.wipe = false
		if err := os.RemoveAll(p.settings.DataFolder); err != nil {
			return err
		}
	}
	if p.settings.DataFolder != "" {
		if err := os.MkdirAll(p.settings.DataFolder, 0o700); err != nil {
			return err
		}
	}
	p.settings.FirstStart = p.settings.FirstStart && p.lives == 0
	file := filepath.Join(p.folder, p.settings.Instance+".conf")
	if err := os.WriteFile(file, p.settings.Text(), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(p.folder, p.settings.Instance+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }() // the child has its own descriptor
	child := exec.Command(p.command[0], p.command[1:]...)
	child.Env = append(os.Environ(), platform.SettingsVariable+"="+file, "BANYANFRONT_FLEET_KEY="+fleetKey, "GOMAXPROCS=1")
	child.Stdout, child.Stderr = output, output
	child.SysProcAttr = endWithParent()
	if err := child.Start(); err != nil {
		return err
	}
	p.child, p.expected, p.ended = child, false, make(chan struct{})
	p.lives++
	return nil
}

// keep waits for the end of each life and starts the next one.
func (p *instance) keep() {
	defer close(p.gone)
	for {
		p.mu.Lock()
		child, ended := p.child, p.ended
		p.mu.Unlock()
		err := child.Wait()
		close(ended)
		p.mu.Lock()
		expected, retired := p.expected, p.retired
		p.mu.Unlock()
		if !expected {
			p.ledger.violate("EXIT", "%s has ended by itself: %v", p.settings.Instance, err)
		}
		if retired {
			return
		}
		time.Sleep(restartPause)
		if err := p.launch(); err != nil {
			p.ledger.violate("SOAK", "%s was not started again: %v", p.settings.Instance, err)
			return
		}
	}
}

// signal sends a signal to the present life. ending says that it is to end by it.
func (p *instance) signal(s syscall.Signal, ending bool) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expected = p.expected || ending
	_ = p.child.Process.Signal(s) // a process that has just ended is started again anyway
	return p.ended
}

// kill ends the present life at once.
func (p *instance) kill() { p.signal(syscall.SIGKILL, true) }

// loseDisk ends the present life at once; the next one finds its data folder empty.
func (p *instance) loseDisk() {
	p.mu.Lock()
	p.wipe = true
	p.mu.Unlock()
	p.kill()
}

// signalReload asks a process to read its settings again.
const signalReload = syscall.SIGHUP

// pause stops the present life from running, or lets it go on.
func (p *instance) pause(on bool) {
	p.mu.Lock()
	p.paused.set(time.Now(), on)
	p.mu.Unlock()
	if on {
		p.signal(syscall.SIGSTOP, false)
		return
	}
	p.signal(syscall.SIGCONT, false)
}

// stop ends the present life as planned and waits for it.
func (p *instance) stop() {
	p.pause(false)
	ended := p.signal(syscall.SIGTERM, true)
	begun := time.Now()
	before := p.pausedFor(begun)
	for left := stopGrace; left > 0; {
		select {
		case <-ended:
			return
		case <-time.After(left):
		}
		// The process cannot end while another fault keeps it from running.
		now := time.Now()
		left = stopGrace - (now.Sub(begun) - (p.pausedFor(now) - before))
	}
	p.ledger.violate("STOP", "%s has not ended after running for %v since SIGTERM", p.settings.Instance, stopGrace)
	p.kill()
}

func (p *instance) pausedFor(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paused.total(now)
}

// pauses adds up the time in which a process was kept from running.
type pauses struct {
	since time.Time // zero while the process runs
	sum   time.Duration
}

func (p *pauses) set(now time.Time, on bool) {
	switch {
	case on && p.since.IsZero():
		p.since = now
	case !on && !p.since.IsZero():
		p.sum += now.Sub(p.since)
		p.since = time.Time{}
	}
}

func (p *pauses) total(now time.Time) time.Duration {
	if p.since.IsZero() {
		return p.sum
	}
	return p.sum + now.Sub(p.since)
}

// retire ends the process for good.
func (p *instance) retire() {
	p.mu.Lock()
	p.retired = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT, false)
	p.kill()
	<-p.gone
}

// life tells the lives of the process apart.
func (p *instance) life() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf("%s/%d", p.settings.Instance, p.lives)
}
