//go:build review

package lab

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// The exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Record is the file in which a case writes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the file at path.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &Record{file: file, began: time.Now()}, nil
}

// Line writes a line with the time since the start.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes a line and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Main runs a case and exits with its code. trouble is false with TROUBLE=0.
func Main(run func(r *Record, folder string, trouble bool) (int, error)) {
	os.Exit(runCase(run))
}

func runCase(run func(r *Record, folder string, trouble bool) (int, error)) int {
	path := os.Getenv("RECORD")
	if path == "" {
		path = "record.txt"
	}
	r, err := NewRecord(path)
	if err != nil {
		fmt.Println(err)
		return NotRun
	}
	defer r.file.Close()
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println(err)
		return NotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	} else {
		fmt.Println("kept:", folder)
	}
	code, err := run(r, folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.Say("the case could not run: %v", err)
		return NotRun
	}
	return code
}
