package spec

// MaxTextBytes bounds the size of the operators' text.
const MaxTextBytes = 4 << 20

// Limits of what one text may declare. They are well above the target size (37,000 jobs a
// day, 390 teams, 47,000 concurrent tasks). Without them, an erroneous or generated text
// could fill the replicated log.
const (
	maxServices      = 5_000
	maxJobs          = 50_000
	maxTeams         = 2_000
	maxTasksPerJob   = 100_000
	maxTasks         = 1_000_000
	maxPathPrefixes  = 64
	maxRoutes        = 256
	maxDependencies  = 64
	maxNameBytes     = 63
	maxPathBytes     = 256
	maxSlots         = 100_000
	maxWeight        = 1_000
	maxFailuresLimit = 1_000
	maxProcessors    = 100_000
	maxMemoryBytes   = 1 << 50
	maxAccelerators  = 10_000
	// maxQuotaFactor is the ratio between the limits of a team's quota and the limits of
	// a single size.
	maxQuotaFactor = 1_000
)

// Defaults of keys that the text does not set.
const (
	defaultTasks        = 1
	defaultMaxFailures  = 3
	defaultEvictionCost = 1
	defaultWeight       = 1
	defaultTimeoutRatio = 4
	defaultPreset       = presetTailLatency
)
