// Package overhead measures the overhead of the path from a caller through an entry instance and an agent to a backend
// server: latency, processor time and memory. It contains benchmarks only; docs/notes/overhead.md gives the commands and
// the figures.
package overhead
