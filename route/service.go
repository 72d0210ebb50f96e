package route

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// service is one service as seen from this entry.
type service struct {
	cfg  Config
	name string

	mu       sync.Mutex
	rng      *rand.Rand
	declared bool
	// objective is the response time that 99 of 100 requests should meet, 0 when
	// there is none.
	objective time.Duration

	targets map[string]*target
	tiers   [tierCount]tier
	byAgent map[string][]*target
	// ejected holds the targets that get no work until their probe; probeCursor is
	// where the last probe looked.
	ejected     []*target
	probeCursor int
	subset      subset

	limit    concurrencyLimit
	inFlight int
	queue    queue
	// lastRetryAt is the latest time that a refused caller was told to retry at.
	lastRetryAt time.Time
	// emptySince is when the last eligible target was lost.
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
