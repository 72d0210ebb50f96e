package settings

import (
	"os"

	"github.com/cockroachdb/errors"

	"github.com/cairnlift/cairnlift/tomltext"
)

// maxFileBytes bounds the size of a settings file.
const maxFileBytes = 1 << 20

// FileError holds all problems of a settings file.
type FileError struct {
	Path     string
	Problems tomltext.Problems
}

// Error implements error with one line per problem: file:line: field: message.
func (e *FileError) Error() string { return e.Problems.In(e.Path) }

// LoadEntry reads and checks an entry's settings. It returns a *FileError if they are invalid.
func LoadEntry(path string) (*Entry, error) {
	s := &Entry{}
	if err := load(path, s); err != nil {
		return nil, err
	}
	return s, nil
}

// LoadAgent reads and checks an agent's settings. It returns a *FileError if they are invalid.
func LoadAgent(path string) (*Agent, error) {
	s := &Agent{}
	if err := load(path, s); err != nil {
		return nil, err
	}
	return s, nil
}

// daemonSettings is implemented by the settings of each daemon.
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

// parse decodes a text, sets defaults and checks the settings as a whole.
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

// Check returns all problems of settings that were created in code.
func (s *Entry) Check() error { return checkValue(s) }

// Check returns all problems of settings that were created in code.
func (s *Agent) Check() error { return checkValue(s) }

func checkValue(s daemonSettings) error {
	doc := tomltext.Parse(nil)
	s.check(doc)
	return doc.Problems().Err()
}
