package settings

import (
	"os"

	"github.com/cockroachdb/errors"

	"github.com/cairnlift/cairnlift/tomltext"
)

// maxFileBytes bounds a settings file.
const maxFileBytes = 1 << 20

// FileError holds every mistake of a settings file.
type FileError struct {
	Path     string
	Problems tomltext.Problems
}

// Error implements error with one line per mistake: file:line: field: message.
func (e *FileError) Error() string { return e.Problems.In(e.Path) }

// LoadEntry reads and checks an entry's settings. Mistakes come as a *FileError.
func LoadEntry(path string) (*Entry, error) {
	s := &Entry{}
	if err := load(path, s); err != nil {
		return nil, err
	}
	return s, nil
}

// LoadAgent reads and checks an agent's settings. Mistakes come as a *FileError.
func LoadAgent(path string) (*Agent, error) {
	s := &Agent{}
	if err := load(path, s); err != nil {
		return nil, err
	}
	return s, nil
}

// daemonSettings is the settings of a daemon.
type daemonSettings interface {
	SetDefaults()
	check(doc *tomltext.Document)
}

func load(path string, into daemonSettings) error {
	info, err := os.Stat(path)
	if err != nil {
		return errors.Wrap(err, "settings can't be read")
	}
	if info.Size() > maxFileBytes {
		return errors.Newf("settings can't be read: %s is larger than %d bytes", path, maxFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "settings can't be read")
	}
	if problems := parse(text, into); len(problems) > 0 {
		return &FileError{Path: path, Problems: problems}
	}
	return nil
}

// parse decodes a text, fills in defaults and checks the whole.
func parse(text []byte, into daemonSettings) tomltext.Problems {
	doc := tomltext.Parse(text)
	if problems := doc.Problems(); len(problems) > 0 {
		return problems
	}
	tomltext.Decode(doc.Root(), into)
	into.SetDefaults()
	into.check(doc)
	return doc.Problems()
}

// Check returns every mistake of settings that were made in code.
func (s *Entry) Check() error { return checkValue(s) }

// Check returns every mistake of settings that were made in code.
func (s *Agent) Check() error { return checkValue(s) }

func checkValue(s daemonSettings) error {
	doc := tomltext.Parse(nil)
	s.check(doc)
	return doc.Problems().Err()
}
