// Package spec reads the operators' text. It is TOML and declares services,
// batch jobs, teams and the policy; Parse checks it as a whole and compiles it
// into the configuration that the control group puts in force.
package spec

import (
	"crypto/sha256"
	"encoding/hex"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/tomltext"
)

// Problem is one mistake in the operators' text.
type Problem = tomltext.Problem

// Problems are all mistakes of one text.
type Problems = tomltext.Problems

// Parse compiles the operators' text. The configuration is nil when there is
// any problem; its version is 0, since versions are the control group's to give.
func Parse(text []byte) (*apiv1.Configuration, Problems) {
	if len(text) > MaxTextBytes {
		return nil, Problems{{Message: "the text is " + formatBytes(int64(len(text))) + ", more than the " + formatBytes(MaxTextBytes) + " allowed"}}
	}
	doc := tomltext.Parse(text)
	if problems := doc.Problems(); len(problems) > 0 {
		return nil, problems
	}
	p := &parser{doc: doc, config: &apiv1.Configuration{}}
	p.parse()
	if problems := doc.Problems(); len(problems) > 0 {
		return nil, problems
	}
	p.config.Text = string(text)
	p.config.TextDigest = Digest(text)
	return p.config, nil
}

// Digest returns the SHA-256 of a text in hex.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// parser reads the tables into config and remembers where each name stands.
type parser struct {
	doc    *tomltext.Document
	config *apiv1.Configuration
	// tablePaths holds the path of each service's and job's table.
	tablePaths map[string]string
	teams      map[string]bool
	// teamRefs, deps and prefixes hold what is checked once all tables are read.
	teamRefs       []reference
	dependencyRefs []reference
	prefixes       []prefixOwner
	tasks          int64
}

// reference is a name that the key at path refers to.
type reference struct{ path, name string }

// prefixOwner is a path prefix of a service, declared by the key at path.
type prefixOwner struct{ path, service, prefix string }

func (p *parser) parse() {
	p.tablePaths = map[string]string{}
	p.teams = map[string]bool{}
	root := p.doc.Root()
	services := p.tables(root, "service", maxServices)
	jobs := p.tables(root, "job", maxJobs)
	teams := p.tables(root, "team", maxTeams)
	for _, t := range teams {
		p.team(t)
	}
	for _, t := range services {
		p.service(t)
	}
	for _, t := range jobs {
		p.job(t)
	}
	p.policy(root)
	root.RejectUnknownKeys()
	p.checkTasks()
	p.checkTeams()
	p.checkPrefixes()
	p.checkDependencies()
}

// tables reads an array of tables, none of them when there are too many.
func (p *parser) tables(root *tomltext.Table, key string, limit int) []*tomltext.Table {
	tables := root.Tables(key)
	if len(tables) > limit {
		root.AddProblem(key, "there are %d [[%s]] tables, more than the %d allowed", len(tables), key, limit)
		return nil
	}
	return tables
}
