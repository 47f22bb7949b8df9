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
	// restartDelay is the time from the end of a process to its restart.
	restartDelay = 300 * time.Millisecond
	// stopGrace is the time that a process has to end after SIGTERM before it is killed.
	stopGrace = 8 * time.Second
	fleetKey  = "fleet-key-of-a-fault-soak-0123456789"
)

// instance is one process of the system. It is restarted each time it ends.
type instance struct {
	settings platform.Settings
	command  []string
	folder   string
	ledger   *ledger

	mu           sync.Mutex
	child        *exec.Cmd
	incarnations int
	exitExpected bool          // the soak has caused the next exit
	shuttingDown bool          // do not restart it
	wipeData     bool          // empty the data folder before the next start
	exited       chan struct{} // closed when the current incarnation ends
	paused       pauses
	stopped      chan struct{} // closed when it has ended and is not restarted
}

// start launches the process and restarts it whenever it ends.
func (p *instance) start() error {
	p.stopped = make(chan struct{})
	if err := p.launch(); err != nil {
		return err
	}
	go p.supervise()
	return nil
}

// launch starts the next incarnation of the process.
func (p *instance) launch() error {
	p.ledger.recordStart(p.settings.Instance)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.wipeData {
		p.wipeData = false
		if err := os.RemoveAll(p.settings.DataFolder); err != nil {
			return err
		}
	}
	if p.settings.DataFolder != "" {
		if err := os.MkdirAll(p.settings.DataFolder, 0o700); err != nil {
			return err
		}
	}
	p.settings.FirstStart = p.settings.FirstStart && p.incarnations == 0
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
	p.child, p.exitExpected, p.exited = child, false, make(chan struct{})
	p.incarnations++
	return nil
}

// supervise waits for the end of each incarnation and launches the next one.
func (p *instance) supervise() {
	defer close(p.stopped)
	for {
		p.mu.Lock()
		child, exited := p.child, p.exited
		p.mu.Unlock()
		err := child.Wait()
		close(exited)
		p.mu.Lock()
		exitExpected, shuttingDown := p.exitExpected, p.shuttingDown
		p.mu.Unlock()
		if !exitExpected {
			p.ledger.recordViolation("EXIT", "%s has ended by itself: %v", p.settings.Instance, err)
		}
		if shuttingDown {
			return
		}
		time.Sleep(restartDelay)
		if err := p.launch(); err != nil {
			p.ledger.recordViolation("SOAK", "%s was not started again: %v", p.settings.Instance, err)
			return
		}
	}
}

// signal sends a signal to the current incarnation and returns a channel that is closed when it ends. endsProcess says
// that the signal makes the process exit.
func (p *instance) signal(s syscall.Signal, endsProcess bool) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exitExpected = p.exitExpected || endsProcess
	_ = p.child.Process.Signal(s) // fails if the process has just ended; it is restarted anyway
	return p.exited
}

// kill ends the current incarnation at once.
func (p *instance) kill() { p.signal(syscall.SIGKILL, true) }

// loseDisk kills the current incarnation; the next one starts with an empty data folder.
func (p *instance) loseDisk() {
	p.mu.Lock()
	p.wipeData = true
	p.mu.Unlock()
	p.kill()
}

// signalReload makes a process reload its settings.
const signalReload = syscall.SIGHUP

// setPaused suspends the current incarnation, or resumes it.
func (p *instance) setPaused(on bool) {
	p.mu.Lock()
	p.paused.set(time.Now(), on)
	p.mu.Unlock()
	if on {
		p.signal(syscall.SIGSTOP, false)
		return
	}
	p.ledger.recordStart(p.settings.Instance) // what servers have told it before does not count, as after a start
	p.signal(syscall.SIGCONT, false)
}

// stop stops the current incarnation gracefully and waits for its end. One that runs longer than stopGrace after SIGTERM is
// a violation and is killed.
func (p *instance) stop() {
	p.setPaused(false)
	exited := p.signal(syscall.SIGTERM, true)
	start := time.Now()
	pausedBefore := p.pausedTime(start)
	for remainingGrace := stopGrace; remainingGrace > 0; {
		select {
		case <-exited:
			return
		case <-time.After(remainingGrace):
		}
		// The process cannot exit while another fault suspends it.
		now := time.Now()
		remainingGrace = stopGrace - (now.Sub(start) - (p.pausedTime(now) - pausedBefore))
	}
	p.ledger.recordViolation("STOP", "%s has not ended after running for %v since SIGTERM", p.settings.Instance, stopGrace)
	p.kill()
}

func (p *instance) pausedTime(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paused.total(now)
}

// pauses sums the time for which a process was suspended.
type pauses struct {
	since time.Time // zero unless the process is suspended
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

// shutDown ends the process without a restart.
func (p *instance) shutDown() {
	p.mu.Lock()
	p.shuttingDown = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT, false)
	p.kill()
	<-p.stopped
}

// incarnation returns a text that identifies the current incarnation of the process.
func (p *instance) incarnation() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf("%s/%d", p.settings.Instance, p.incarnations)
}
