package waltest

import (
	"io"
	"slices"
	"syscall"
)

// file is an inode: what is on the disk and what a reader sees.
type file struct {
	durable []byte
	current []byte
}

// handle is an open file.
type handle struct {
	d *Disk
	f *file
}

// Write implements io.Writer. When the power is cut, a part is written.
func (h *handle) Write(b []byte) (int, error) {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	fault, failed, err := h.d.nextStep()
	if err != nil {
		return 0, err
	}
	if h.d.full {
		part := len(b) / 2
		h.f.current = append(h.f.current, b[:part]...)
		return part, syscall.ENOSPC
	}
	if failed && (fault == PowerCut || fault == ShortWrite) {
		part := h.d.rand.IntN(len(b) + 1)
		h.f.current = append(h.f.current, b[:part]...)
		if fault == PowerCut {
			return part, ErrPowerCut
		}
		return part, io.ErrShortWrite
	}
	h.f.current = append(h.f.current, b...)
	return len(b), nil
}

// Sync implements wal.File.
func (h *handle) Sync() error {
	h.d.waitSync()
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	fault, failed, err := h.d.nextStep()
	if err := stepError(fault, failed, err); err != nil {
		return err
	}
	h.f.durable = slices.Clone(h.f.current)
	return nil
}

// Truncate implements wal.File.
func (h *handle) Truncate(size int64) error {
	return h.d.changeFolder(false, func() { h.f.current = h.f.current[:size] })
}

// Close implements wal.File.
func (h *handle) Close() error { return nil }
