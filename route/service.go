package route

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// service is the state of one service at this entry.
type service struct {
	cfg  Config
	name string

	mu       sync.Mutex
	rng      *rand.Rand
	declared bool
	// objective is the response time that 99 of 100 requests should meet, or 0 if there is none.
	objective time.Duration

	targets map[string]*target
	tiers   [tierCount]tier
	byAgent map[string][]*target
	// ejected contains the targets that get no requests until their probe. probeCursor is the index
	// at which the last search for a target to probe ended.
	ejected     []*target
	probeCursor int
	subset      subset

	limit    concurrencyLimit
	inFlight int
	queue    queue
	// lastRetryAt is the latest time to which the retry of a refused caller was scheduled.
	lastRetryAt time.Time
	// emptySince is when the service lost its last eligible target. It is zero while there are
	// eligible targets.
	emptySince time.Time

	latency        latency
	retryBudget    budget
	redirectBudget budget
	hedgeBudget    budget
	probeBudget    budget
	counters       Counters
}

func newService(name string, cfg Config) *service {
	s := &service{
		cfg:            cfg,
		name:           name,
		rng:            rand.New(rand.NewPCG(cfg.Seed, xxhash.Sum64String(name))),
		targets:        map[string]*target{},
		byAgent:        map[string][]*target{},
		latency:        newLatency(cfg.LatencyWindow),
		retryBudget:    newBudget(cfg.RetryRatio, cfg.RetryBurst),
		redirectBudget: newBudget(cfg.RedirectRatio, cfg.RedirectBurst),
		hedgeBudget:    newBudget(cfg.HedgeRatio, cfg.HedgeBurst),
		probeBudget:    newBudget(probeRatio, probeBurst),
	}
	s.queue.init(cfg.BatchFloor)
	return s
}
