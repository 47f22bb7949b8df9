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

// defaultSoakFaults is long enough for most kinds of faults to come and overlap.
const defaultSoakFaults = 20 * time.Second

func soakCommand() *ff.Command {
	flags := ff.NewFlagSet("soak")
	first := flags.Uint64Long("seed", 1, "first `SEED`")
	seeds := flags.Uint64Long("seeds", 1, "`NUMBER` of seeds")
	jobs := flags.IntLong("jobs", 1, "`NUMBER` of soaks at once")
	faults := flags.DurationLong("faults", defaultSoakFaults, "how long faults overlap, as a `DURATION` like 20s")
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
				return usage("--jobs, --scale and --faults: give values above 0")
			}
			s := soaks{base: soak.Config{Faults: *faults, Scale: *scale, Front: front, Agent: filepath.Join(filepath.Dir(front), "banyanagent")},
				folder: *folder}
			return s.run(ctx, *first, *seeds, *jobs)
		},
	}
}

// soaks runs several soaks at once.
type soaks struct {
	base   soak.Config
	folder string

	mu     sync.Mutex
	broken int
	err    error
}

func (s *soaks) run(ctx context.Context, first, seeds uint64, jobs int) error {
	queue := make(chan uint64)
	var group sync.WaitGroup
	for range jobs {
		group.Go(func() {
			for seed := range queue {
				s.one(ctx, seed)
			}
		})
	}
	for n := range seeds {
		queue <- first + n
	}
	close(queue)
	group.Wait()
	if s.err != nil {
		return s.err
	}
	if s.broken > 0 {
		return eris.Errorf("%d of %d soaks broke a promise", s.broken, seeds)
	}
	return nil
}

// one runs the soak of a seed and prints its report.
func (s *soaks) one(ctx context.Context, seed uint64) {
	folder, err := os.MkdirTemp(s.folder, "soak-"+strconv.FormatUint(seed, 10)+"-")
	if err != nil {
		s.failed(err)
		return
	}
	config := s.base
	config.Seed, config.Folder = seed, folder
	report, err := soak.Run(ctx, config)
	if err != nil {
		s.failed(eris.Wrapf(err, "soak of seed %d", seed))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := report.Write(os.Stdout); err != nil {
		s.err = err
	}
	if len(report.Violations) > 0 {
		s.broken++
		_, err = fmt.Printf("  logs and data: %s\n", folder)
	} else {
		err = os.RemoveAll(folder)
	}
	if err != nil {
		s.err = err
	}
}

func (s *soaks) failed(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}
