package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// program is the import path of the programs under test.
const program = "pomeloway.example/pomeloway/cmd/pomeloway-datagram"

// build builds the programs and returns their path.
func build(dir string) (string, error) {
	out := filepath.Join(dir, "pomeloway-datagram")
	b, err := exec.Command("go", "build", "-o", out, program).CombinedOutput()
	return out, eris.Wrapf(err, "build %s: %s", program, b)
}

// starter starts processes from one thread, which it keeps until it is closed. The kernel ends
// a process when the thread that started it ends, so none is left over however the soak ends.
type starter struct {
	calls chan func()
	once  sync.Once
}

func newStarter() *starter {
	s := &starter{calls: make(chan func())}
	go func() {
		runtime.LockOSThread()
		for f := range s.calls {
			f()
		}
	}()
	return s
}

func (s *starter) start(c *exec.Cmd) (err error) {
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	done := make(chan struct{})
	s.calls <- func() { err = c.Start(); close(done) }
	<-done
	return err
}

// Close ends the thread.
func (s *starter) Close() { s.once.Do(func() { close(s.calls) }) }

// Roles of processes, as the commands of the program.
const (
	roleBalancer = "balancer"
	roleAgent    = "agent"
)

// process is a balancer or an agent under test.
type process struct {
	endpoint
	name, role, zone, service string
	arguments                 []string // program and its arguments
	log                       string   // path
	starter                   *starter
	store                     *front

	mu    sync.Mutex
	cmd   *exec.Cmd     // nil: does not run
	ended chan struct{} // closed when cmd has ended
	asked bool          // cmd was asked to end
	life  int           // number of starts
	pids  []int         // of all starts
	// unasked has the ends that no fault explains.
	unasked []string
}

// start starts the program unless it runs.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	f, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	c := exec.Command(p.arguments[0], p.arguments[1:]...)
	c.Stderr = f
	if err := p.starter.start(c); err != nil {
		return eris.Wrapf(err, "start %s", p.name)
	}
	p.cmd, p.ended, p.asked = c, make(chan struct{}), false
	p.life++
	p.pids = append(p.pids, c.Process.Pid)
	go p.wait(c, p.ended)
	return nil
}

// wait reaps the program.
func (p *process) wait(c *exec.Cmd, ended chan struct{}) {
	err := c.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.asked {
		p.unasked = append(p.unasked, fmt.Sprintf("%s ended by itself: %v", p.name, err))
	}
	p.cmd = nil
	close(ended)
}

// signal sends a signal to the program of the life; 0: any life.
func (p *process) signal(s syscall.Signal, life int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || life != 0 && life != p.life {
		return 0
	}
	p.asked = p.asked || s == syscall.SIGKILL || s == syscall.SIGTERM
	p.cmd.Process.Signal(s)
	return p.life
}

// end signals the program to end and waits for that. It kills a program that takes longer than
// the limit.
func (p *process) end(s syscall.Signal, limit time.Duration) {
	p.mu.Lock()
	ended, running := p.ended, p.cmd != nil
	p.mu.Unlock()
	if !running {
		return
	}
	p.signal(s, 0)
	select {
	case <-ended:
	case <-time.After(limit):
		p.signal(syscall.SIGKILL, 0)
		<-ended
	}
}

// endedUnasked returns the ends that no fault explains.
func (p *process) endedUnasked() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.unasked)
}

// lifeNow returns the number of starts so far.
func (p *process) lifeNow() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.life
}

// runDelay returns how long the thread of the program that waited longest has waited for a
// processor, by the kernel's count. It is 0 if the kernel does not count or nothing runs.
func (p *process) runDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	ts, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.cmd.Process.Pid))
	var longest time.Duration
	for _, t := range ts {
		b, err := os.ReadFile(t)
		if f := strings.Fields(string(b)); err == nil && len(f) == 3 {
			n, _ := strconv.ParseInt(f[1], 10, 64)
			longest = max(longest, time.Duration(n))
		}
	}
	return longest
}
