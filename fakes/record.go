package fakes

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"sync"

	"github.com/cockroachdb/errors"
)

// Recorder appends values to a file as JSON lines and keeps them in memory. Each line is
// written by one write call, so if the process is killed only the last line may be
// incomplete.
type Recorder[T any] struct {
	mu     sync.Mutex
	file   *os.File
	values []T
}

// NewRecorder returns a recorder that appends to the file at path. If path is empty the
// values are kept in memory only.
func NewRecorder[T any](path string) (*Recorder[T], error) {
	if path == "" {
		return &Recorder[T]{}, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "record can't be opened")
	}
	return &Recorder[T]{file: f}, nil
}

// Add records a value. It panics if the write fails, since Check gives wrong results for
// an incomplete record.
func (r *Recorder[T]) Add(v T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values = append(r.values, v)
	if r.file == nil {
		return
	}
	b, err := json.Marshal(v)
	if err != nil {
		panic("fakes: every record value must be encodable: " + err.Error())
	}
	if _, err := r.file.Write(append(b, '\n')); err != nil {
		panic("fakes: a record must be complete: " + err.Error())
	}
}

// Close closes the file, if there is one.
func (r *Recorder[T]) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file == nil {
		return nil
	}
	return errors.Wrap(r.file.Close(), "record can't be closed")
}

// Values returns a copy of the values that this recorder added.
func (r *Recorder[T]) Values() []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]T(nil), r.values...)
}

// ReadRecord returns the values of a record file. It ignores an incomplete last line,
// which a killed process may leave.
func ReadRecord[T any](path string) ([]T, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "record can't be read")
	}
	defer f.Close()
	var out []T
	in := bufio.NewReader(f)
	for {
		line, err := in.ReadBytes('\n')
		if err == io.EOF {
			return out, nil
		}
		if err != nil {
			return nil, errors.Wrapf(err, "%s", path)
		}
		var v T
		if err := json.Unmarshal(line, &v); err != nil {
			return nil, errors.Wrapf(err, "%s: line %d", path, len(out)+1)
		}
		out = append(out, v)
	}
}
