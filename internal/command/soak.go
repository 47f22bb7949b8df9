package command

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/peterbourgon/ff/v4"
	"github.com/rotisserie/eris"

	"github.com/banyanfront/banyanfront/internal/soak"
)

// defaultFaultDuration is long enough for most kinds of faults to occur and overlap.
const defaultFaultDuration = 20 * time.Second

func soakCommand() *ff.Command {
	flags := ff.NewFlagSet("soak")
	firstSeed := flags.Uint64Long("seed", 1, "first `SEED`")
	seeds := flags.Uint64Long("seeds", 1, "`NUMBER` of seeds")
	jobs := flags.IntLong("jobs", 1, "`NUMBER` of soaks at once")
	faults := flags.DurationLong("faults", defaultFaultDuration, "how long faults overlap, as a `DURATION` like 20s")
	scale := flags.IntLong("scale", 1, "size of the deployment, as a `MULTIPLE` of the usual one")
	folder := flags.StringLong("folder", os.TempDir(), "`FOLDER` for logs and data; those of a soak without a broken promise are removed")
	return &ff.Command{
		Name:      "soak",
		Usage:     "banyanfront soak [--seed SEED] [--seeds NUMBER] [--jobs NUMBER] [--faults DURATION] [--scale MULTIPLE] [--folder FOLDER]",
		ShortHelp: "run the programs as separate processes on loopback addresses under faults, and check what they promise",
		LongHelp:  "The program banyanagent is taken from the folder of banyanfront. The exit status is 1 if a promise was broken.",
		Flags:     flags,
		Exec: func(ctx context.Context, _ []string) error {
			front, err := os.Executable()
			if err != nil {
				return eris.Wrap(err, "path of this program")
			}
			if *jobs < 1 || *scale < 1 || *faults <= 0 {
				return usageErrorf("--jobs, --scale and --faults: give values above 0")
			}
			agent := filepath.Join(filepath.Dir(front), "banyanagent")
			if _, err := os.Stat(agent); err != nil {
				return usageErrorf("%v: the soak runs both programs from one folder; build them with 'go build -o bin ./cmd/...' and run bin/banyanfront soak", err)
			}
			runner := soakRunner{
				baseConfig: soak.Config{Faults: *faults, Scale: *scale, Front: front, Agent: agent},
				folder:     *folder}
			return runner.run(ctx, *firstSeed, *seeds, *jobs)
		},
	}
}

// soakRunner runs soaks of several seeds concurrently and counts those with violations.
type soakRunner struct {
	baseConfig soak.Config
	folder     string

	mu                  sync.Mutex
	soaksWithViolations int
	err                 error
}

func (s *soakRunner) run(ctx context.Context, firstSeed, seeds uint64, jobs int) error {
	queue := make(chan uint64)
	var group sync.WaitGroup
	for range jobs {
		group.Go(func() {
			for seed := range queue {
				s.runSeed(ctx, seed)
			}
		})
	}
	for n := range seeds {
		queue <- firstSeed + n
	}
	close(queue)
	group.Wait()
	if s.err != nil {
		return s.err
	}
	if s.soaksWithViolations > 0 {
		return eris.Errorf("%d of %d soaks broke a promise", s.soaksWithViolations, seeds)
	}
	return nil
}

// runSeed runs the soak of one seed and prints its report. The folder is removed if there was no violation.
func (s *soakRunner) runSeed(ctx context.Context, seed uint64) {
	folder, err := os.MkdirTemp(s.folder, "soak-"+strconv.FormatUint(seed, 10)+"-")
	if err != nil {
		s.setError(err)
		return
	}
	config := s.baseConfig
	config.Seed, config.Folder = seed, folder
	report, err := soak.Run(ctx, config)
	if err != nil {
		s.setError(eris.Wrapf(err, "soak of seed %d", seed))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := report.Write(os.Stdout); err != nil {
		s.err = err
	}
	if len(report.Violations) > 0 {
		s.soaksWithViolations++
		_, err = fmt.Printf("  logs and data: %s\n", folder)
	} else {
		err = os.RemoveAll(folder)
	}
	if err != nil {
		s.err = err
	}
}

func (s *soakRunner) setError(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}
