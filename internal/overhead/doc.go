// Package overhead measures what the path from a caller over an entry instance and an agent to a backend server costs.
// It holds benchmarks only; docs/notes/overhead.md gives the commands and the figures.
package overhead
