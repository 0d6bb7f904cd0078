package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	out   *bufio.Writer
	began time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	cannotRun(err)
	return &record{file: file, out: bufio.NewWriter(file), began: time.Now()}
}

func (record *record) line(format string, arguments ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	_, _ = fmt.Fprintf(record.out, "%9.4f ", time.Since(record.began).Seconds())
	_, _ = fmt.Fprintf(record.out, format+"\n", arguments...)
}

func (record *record) close() {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	_ = record.out.Flush()
	_ = record.file.Close()
}

// current is the fleet whose processes end with this one.
var current *fleet

// cannotRun ends the case with status 2 if something that is not judged has failed.
func cannotRun(err error) {
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "cannot run:", err)
	if current != nil {
		current.end()
	}
	os.Exit(2)
}
