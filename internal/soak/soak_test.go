package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Environment variables for longer soaks than CI runs.
const (
	firstSeedVariable = "SOAK_FIRST"  // first seed
	seedsVariable     = "SOAK_SEEDS"  // number of seeds
	faultsVariable    = "SOAK_FAULTS" // duration of the phase with overlapping faults, as a Go duration
)

// regressionSeeds are seeds that have failed; each line says why.
var regressionSeeds = []uint64{}

const (
	ciSeed   = 1
	ciFaults = 6 * time.Second
)

func numberFrom(t *testing.T, variable string, fallback uint64) uint64 {
	text := os.Getenv(variable)
	if text == "" {
		return fallback
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", variable, err)
	}
	return n
}

// Guards against violated guarantees when the real programs run as separate processes under signals, link faults and failing
// servers.
func TestSoak(t *testing.T) {
	length := ciFaults
	if text := os.Getenv(faultsVariable); text != "" {
		var err error
		if length, err = time.ParseDuration(text); err != nil {
			t.Fatalf("%s: %v", faultsVariable, err)
		}
	}
	programs := t.TempDir()
	build := exec.Command("go", "build", "-o", programs, "github.com/banyanfront/banyanfront/cmd/...")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	first := numberFrom(t, firstSeedVariable, ciSeed)
	seeds := regressionSeeds
	for n := range numberFrom(t, seedsVariable, 1) {
		seeds = append(seeds, first+n)
	}
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			folder, err := os.MkdirTemp("", "soak")
			if err != nil {
				t.Fatal(err)
			}
			report, err := Run(t.Context(), Config{Seed: seed, Faults: length, Front: filepath.Join(programs, "banyanfront"),
				Agent: filepath.Join(programs, "banyanagent"), Folder: folder})
			if err != nil {
				t.Fatal(err)
			}
			var text strings.Builder
			if err := report.Write(&text); err != nil {
				t.Fatal(err)
			}
			t.Log(text.String())
			if len(report.Violations) > 0 {
				t.Fatalf("guarantees were violated; the logs are in %s", folder)
			}
			if err := os.RemoveAll(folder); err != nil {
				t.Error(err)
			}
		})
	}
}

// Guards against a plan that differs between two runs of one seed, or that loses more than one disk.
func TestPlanIsDecidedByItsSeed(t *testing.T) {
	is := is.New(t)
	names := targets{[]string{"e"}, []string{"c1", "c2"}, []string{"r"}, []string{"s"}, []string{"g"}}
	for seed := range uint64(50) {
		list := plan(seed, 20*time.Second, names)
		is.Equal(list, plan(seed, 20*time.Second, names))
		disks := 0
		for _, f := range list {
			is.True(f.At < 20*time.Second && f.At+f.For <= 20*time.Second)
			if f.Kind == LoseDisk {
				disks++
			}
		}
		is.True(disks <= toleratedDiskLosses)
	}
}
