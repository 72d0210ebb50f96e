package main

import (
	"encoding/json"
	"os"
	"path/filepath"
)

// pages gives access to the files that this program reads and writes.
type pages struct{ root string }

const (
	slopesData   = "docs/measurements/slopes.json"
	slopesPage   = "docs/measurements/slopes.md"
	capacityPage = "docs/CAPACITY.md"
)

func (p pages) path(name string) string { return filepath.Join(p.root, name) }

func (p pages) load() ([]*Slope, error) {
	data, err := os.ReadFile(p.path(slopesData))
	if err != nil {
		return nil, err
	}
	var list []*Slope
	return list, json.Unmarshal(data, &list)
}

func (p pages) save(list []*Slope) error {
	data, err := json.MarshalIndent(list, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(p.path(slopesData), append(data, '\n'), 0o644)
}

// write renders both pages from the slopes and writes them.
func (p pages) write(list []*Slope) error {
	if err := os.WriteFile(p.path(slopesPage), renderSlopes(list), 0o644); err != nil {
		return err
	}
	page, err := renderCapacity(list)
	if err != nil {
		return err
	}
	return os.WriteFile(p.path(capacityPage), page, 0o644)
}
