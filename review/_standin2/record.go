package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	lines   []string
}

// newRecord creates record.txt in the folder of the case.
func newRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

// log writes one line with the time since the start.
func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf(format, args...)
	r.lines = append(r.lines, line)
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), line)
}

// count returns the number of lines for which the function holds.
func (r *record) count(holds func(line string) bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, line := range r.lines {
		if holds(line) {
			n++
		}
	}
	return n
}
