package decide_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// allowedImports lists the packages that decision packages may import besides each other. Any other package could give
// access to a clock, a socket, a file or a global random source.
var allowedImports = map[string]bool{
	"bytes": true, "cmp": true, "container/heap": true, "encoding/binary": true, "encoding/hex": true,
	"errors": true, "fmt": true, "hash/crc32": true, "crypto/sha256": true, "iter": true, "maps": true,
	"math": true, "math/bits": true, "math/rand/v2": true, "slices": true, "sort": true, "strconv": true,
	"strings": true, "sync/atomic": true, "time": true, "unicode": true, "unicode/utf8": true,
	"github.com/cespare/xxhash/v2": true,
}

// forbiddenCalls are functions of allowed packages that read the clock or a global random source.
var forbiddenCalls = map[string]bool{
	"time.Now": true, "time.Since": true, "time.Until": true, "time.Sleep": true, "time.After": true,
	"time.AfterFunc": true, "time.NewTimer": true, "time.NewTicker": true, "time.Tick": true,
	"rand.Int": true, "rand.IntN": true, "rand.Uint64": true, "rand.Float64": true, "rand.Perm": true,
	"rand.Shuffle": true, "rand.N": true, "rand.Int64N": true, "rand.Uint32": true, "rand.ExpFloat64": true,
}

// Guards against a decision package that uses a clock, socket, file, goroutine or global random source: its decisions could
// not be replayed from a seed.
func TestDecisionPackagesHaveNoSideEffects(t *testing.T) {
	fset := token.NewFileSet()
	files := 0
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		file, err := parser.ParseFile(fset, path, nil, 0)
		if err != nil {
			return err
		}
		for _, spec := range file.Imports {
			name, _ := strconv.Unquote(spec.Path.Value)
			if !allowedImports[name] && !strings.HasPrefix(name, "github.com/banyanfront/banyanfront/decide/") {
				t.Errorf("%s imports %q, which decision packages must not use", path, name)
			}
		}
		ast.Inspect(file, func(node ast.Node) bool {
			switch n := node.(type) {
			case *ast.GoStmt:
				t.Errorf("%s starts a goroutine", fset.Position(n.Pos()))
			case *ast.SelectorExpr:
				pkg, ok := n.X.(*ast.Ident)
				if ok && forbiddenCalls[pkg.Name+"."+n.Sel.Name] {
					t.Errorf("%s uses %s.%s", fset.Position(n.Pos()), pkg.Name, n.Sel.Name)
				}
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if files == 0 {
		t.Fatal("no decision packages found")
	}
}
