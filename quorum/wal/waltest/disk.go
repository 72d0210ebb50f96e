// Package waltest provides a disk in memory that fails on demand, for tests of
// code that must survive power cuts and failing disks.
package waltest

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cairnlift/cairnlift/quorum/wal"
)

// Fault is what happens at the chosen step.
type Fault int

const (
	// PowerCut ends the step and all later ones with ErrPowerCut.
	PowerCut Fault = iota
	// ShortWrite writes a part of the bytes and reports io.ErrShortWrite.
	ShortWrite
	// NoSpace reports ENOSPC, then and from then on, for what takes space.
	NoSpace
	// SyncFailure reports EIO for a sync, which stores nothing.
	SyncFailure
)

// ErrPowerCut is what every step returns once the power is cut.
var ErrPowerCut = errors.New("power cut")

// Disk is a file system that remembers what is durable. Each call that changes
// something is a step; steps are counted from 1.
type Disk struct {
	mu         sync.Mutex
	rand       *rand.Rand
	steps      int
	failAt     int
	fault      Fault
	poweredOff bool
	full       bool
	syncDelay  time.Duration
	durable    map[string]*file
	current    map[string]*file
	locked     map[string]bool
}

var _ wal.FS = (*Disk)(nil)

// NewDisk returns an empty disk. The seed decides what a power cut leaves of
// unsynced data.
func NewDisk(seed uint64) *Disk {
	return &Disk{
		rand:    rand.New(rand.NewPCG(seed, 1)),
		durable: map[string]*file{},
		current: map[string]*file{},
		locked:  map[string]bool{},
	}
}

// FailAt arranges a fault at a step, counted from now; 0 arranges none.
func (d *Disk) FailAt(step int, f Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.steps, d.failAt, d.fault = 0, step, f
}

// Steps returns the steps since FailAt was called.
func (d *Disk) Steps() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.steps
}

// CutPower loses what isn't synced, or keeps a random part of it: renames may
// or may not have happened, and appended bytes may be there in part or as zeros.
// The disk then works again.
func (d *Disk) CutPower() {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := d.durable
	if d.rand.IntN(2) == 0 {
		names = d.current
	}
	d.durable, d.current = map[string]*file{}, map[string]*file{}
	// In order, so that each file gets the same draws in every run of a seed.
	for _, name := range slices.Sorted(maps.Keys(names)) {
		b := d.contentAfterPowerCut(names[name])
		survivor := &file{durable: b, current: slices.Clone(b)}
		d.durable[name], d.current[name] = survivor, survivor
	}
	d.locked = map[string]bool{}
	d.failAt, d.poweredOff, d.full = 0, false, false
}

// contentAfterPowerCut returns a file's bytes after a power cut.
func (d *Disk) contentAfterPowerCut(f *file) []byte {
	kept := slices.Clone(f.durable)
	if len(f.current) <= len(f.durable) || d.rand.IntN(3) == 0 {
		return kept
	}
	tail := append([]byte(nil), f.current[len(f.durable):]...)
	tail = tail[:d.rand.IntN(len(tail)+1)]
	if n := len(tail); n > 0 && d.rand.IntN(2) == 0 {
		clear(tail[d.rand.IntN(n):])
	}
	return append(kept, tail...)
}

// Corrupt flips a bit of a file, as a failing disk would.
func (d *Disk) Corrupt(name string, offset int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current[name].current[offset] ^= 0x10
	d.current[name].durable[offset] ^= 0x10
}

// Put stores a file of any content.
func (d *Disk) Put(name string, b []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := &file{durable: slices.Clone(b), current: slices.Clone(b)}
	d.durable[name], d.current[name] = f, f
}

// Names returns the paths of all files, sorted.
func (d *Disk) Names() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.current))
}

// SetSyncDelay makes each sync of a file take a time; 0 ends it.
func (d *Disk) SetSyncDelay(sync time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncDelay = sync
}

// waitSync lasts as long as a sync does.
func (d *Disk) waitSync() {
	d.mu.Lock()
	slow := d.syncDelay
	d.mu.Unlock()
	time.Sleep(slow)
}

// FreeSpace ends a NoSpace fault.
func (d *Disk) FreeSpace() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = false
}

// Clone returns a disk with the same files, all durable and unlocked.
func (d *Disk) Clone() *Disk {
	clone := NewDisk(1)
	for _, name := range d.Names() {
		b, _ := d.ReadFile(name)
		clone.Put(name, b)
	}
	return clone
}

// Erase leaves the disk empty, as a replaced one is.
func (d *Disk) Erase() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.durable, d.current = map[string]*file{}, map[string]*file{}
}

// nextStep counts a step and returns its fault.
func (d *Disk) nextStep() (fault Fault, failed bool, err error) {
	if d.poweredOff {
		return 0, false, ErrPowerCut
	}
	d.steps++
	if d.failAt == 0 || d.steps != d.failAt {
		return 0, false, nil
	}
	d.poweredOff = d.fault == PowerCut
	d.full = d.fault == NoSpace
	return d.fault, true, nil
}

// changeFolder runs a step on the folder.
func (d *Disk) changeFolder(takesSpace bool, do func()) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _, err := d.nextStep()
	if err != nil {
		return err
	}
	if d.poweredOff {
		return ErrPowerCut
	}
	if d.full && takesSpace {
		return syscall.ENOSPC
	}
	do()
	return nil
}

// MkdirAll implements wal.FS.
func (d *Disk) MkdirAll(string) error { return nil }

// List implements wal.FS.
func (d *Disk) List(folder string) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for name := range d.current {
		if path.Dir(name) == folder {
			names = append(names, path.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

// ReadFile implements wal.FS.
func (d *Disk) ReadFile(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.current[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.current), nil
}

// Create implements wal.FS.
func (d *Disk) Create(name string) (wal.File, error) {
	f := &file{}
	err := d.changeFolder(true, func() { d.current[name] = f })
	return &handle{d, f}, err
}

// Append implements wal.FS.
func (d *Disk) Append(name string) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.current[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return &handle{d, f}, nil
}

// Rename implements wal.FS.
func (d *Disk) Rename(from, to string) error {
	return d.changeFolder(false, func() {
		d.current[to] = d.current[from]
		delete(d.current, from)
	})
}

// Remove implements wal.FS.
func (d *Disk) Remove(name string) error {
	return d.changeFolder(false, func() { delete(d.current, name) })
}

// SyncDir implements wal.FS.
func (d *Disk) SyncDir(folder string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	fault, failed, err := d.nextStep()
	if err := stepError(fault, failed, err); err != nil {
		return err
	}
	d.durable = maps.Clone(d.current)
	return nil
}

// stepError is the error of a step that syncs.
func stepError(fault Fault, failed bool, err error) error {
	switch {
	case err != nil:
		return err
	case failed && fault == PowerCut:
		return ErrPowerCut
	case failed && fault == SyncFailure:
		return syscall.EIO
	}
	return nil
}

type diskLock struct {
	d    *Disk
	name string
}

func (l diskLock) Close() error {
	l.d.mu.Lock()
	defer l.d.mu.Unlock()
	delete(l.d.locked, l.name)
	return nil
}

// Lock implements wal.FS.
func (d *Disk) Lock(name string) (io.Closer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.locked[name] {
		return nil, &wal.LockedError{Folder: path.Dir(name)}
	}
	d.locked[name] = true
	return diskLock{d, name}, nil
}
