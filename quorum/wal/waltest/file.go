package waltest

import (
	"io"
	"slices"
	"syscall"
)

// file is an inode: what is on the disk and what a reader sees.
type file struct {
	stored  []byte
	content []byte
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
	fault, failed, err := h.d.step()
	if err != nil {
		return 0, err
	}
	if h.d.full {
		part := len(b) / 2
		h.f.content = append(h.f.content, b[:part]...)
		return part, syscall.ENOSPC
	}
	if failed && (fault == PowerCut || fault == ShortWrite) {
		part := h.d.rand.IntN(len(b) + 1)
		h.f.content = append(h.f.content, b[:part]...)
		if fault == PowerCut {
			return part, ErrPowerCut
		}
		return part, io.ErrShortWrite
	}
	h.f.content = append(h.f.content, b...)
	return len(b), nil
}

// Sync implements wal.File.
func (h *handle) Sync() error {
	h.d.wait()
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	fault, failed, err := h.d.step()
	if err := stepError(fault, failed, err); err != nil {
		return err
	}
	h.f.stored = slices.Clone(h.f.content)
	return nil
}

// Truncate implements wal.File.
func (h *handle) Truncate(size int64) error {
	return h.d.change(false, func() { h.f.content = h.f.content[:size] })
}

// Close implements wal.File.
func (h *handle) Close() error { return nil }
