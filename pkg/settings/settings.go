// Package settings defines, loads and validates the daemon's settings.
// docs/SETTINGS.md is generated from the comments, tags and defaults in this file.
package settings

import (
	"time"
)

// Settings is the content of the settings file that rushrampd reads at its start.
// Durations are written as in "10ms" or "2s".
type Settings struct {
	// The identity of the VM that this daemon runs on.
	VM VM `yaml:"vm"`
	// The addresses that this daemon listens on.
	Listen Listen `yaml:"listen"`
	// The backend server beside this daemon. Without an address the daemon is an entry
	// only: it forwards calls and runs none.
	BackendServer BackendServer `yaml:"backend_server"`
	// The platform's table service, object store and VM list.
	Platform Platform `yaml:"platform"`
	// The policy that chooses a backend server for a call.
	Choosing Choosing `yaml:"choosing"`
	// Requests that are routed by host and path.
	Routing Routing `yaml:"routing"`
	// Limits and keys of teams.
	Teams Teams `yaml:"teams"`
	// Links between daemons.
	Links Links `yaml:"links"`
	// The gate in front of the backend server.
	Gate Gate `yaml:"gate"`
	// Retries and hedges.
	Retries Retries `yaml:"retries"`
	// Calls that may run at most once.
	Once Once `yaml:"once"`
	// How the placement is kept up to date.
	Placement Placement `yaml:"placement"`
	// The bandwidth for load reports.
	Measurement Measurement `yaml:"measurement"`
	// Limits on requests and connections.
	Limits Limits `yaml:"limits"`
	// How the daemon drains before it ends.
	Drain Drain `yaml:"drain"`
	// Certificates for daemons and operators.
	TLS TLS `yaml:"tls"`
	// The operators and what they may change. Empty: everybody who reaches the listener may change everything.
	Operators []Operator `yaml:"operators" validate:"dive"`
	// The log.
	Log Log `yaml:"log"`
	// Interval of the daemon's periodic work.
	Tick time.Duration `yaml:"tick" validate:"min=1ms,max=1s"`
}

// VM holds the name and the location of the VM.
type VM struct {
	// Name of the VM in the platform's list of VMs.
	ID string `yaml:"id" validate:"required"`
	// Region that the data centre belongs to.
	Region string `yaml:"region"`
	// Data centre of this VM.
	DataCentre string `yaml:"data_centre" validate:"required"`
}

// Listen holds the addresses of the listeners, each an IP address and a port.
type Listen struct {
	// HTTP requests of callers.
	Callers string `yaml:"callers" validate:"required,ip_port"`
	// Links from other daemons.
	Links string `yaml:"links" validate:"required,ip_port"`
	// Operators' gRPC calls.
	Operators string `yaml:"operators" validate:"required,ip_port"`
	// Metrics, health and readiness over HTTP.
	Metrics string `yaml:"metrics" validate:"required,ip_port"`
	// HTTP requests that are routed by host and path. Empty: not served.
	Routed string `yaml:"routed" validate:"omitempty,ip_port"`
	// Readiness checks of the platform, if it does not make them at the metrics address. Empty: not served.
	Readiness string `yaml:"readiness" validate:"omitempty,ip_port"`
	// Announcements of the backend server beside this daemon. Empty: not served.
	Announcements string `yaml:"announcements" validate:"omitempty,ip_port"`
}

// BackendServer holds the settings of the backend server beside this daemon.
type BackendServer struct {
	// Service that the backend server runs.
	Service string `yaml:"service" validate:"required_with=Address"`
	// Address of the backend server. Empty: the daemon is an entry only.
	Address string `yaml:"address" validate:"omitempty,ip_port"`
	// Version that the backend server runs, by the name that operators use in roll-outs. Empty: it takes part in no roll-out. Allowed only with platform.form "http" and without listen.routed; otherwise backend servers announce their version.
	Version string `yaml:"version" validate:"max=256"`
	// Number of calls that the backend server runs concurrently.
	Slots int `yaml:"slots" validate:"min=1,max=10000"`
	// Maximum number of connections that the daemon opens to the backend server.
	Connections int `yaml:"connections" validate:"min=1,max=10000"`
	// Timeout for opening a connection, after which the backend server counts as unreachable.
	DialTimeout time.Duration `yaml:"dial_timeout" validate:"min=1ms"`
	// Path to which the daemon sends cancellations, with the id of the call appended. Empty: it sends none.
	CancelPath string `yaml:"cancel_path"`
}

// Platform holds the settings of the connection to the platform.
type Platform struct {
	// Address of the platform's HTTP service.
	Address string `yaml:"address" validate:"required,ip_port"`
	// Timeout of one request to the platform.
	Timeout time.Duration `yaml:"timeout" validate:"min=1ms"`
	// Interval at which the list of VMs is read.
	VMListEvery time.Duration `yaml:"vm_list_every" validate:"min=10ms"`
	// Name of the adapter for the platform. "http" is the adapter for rushramp's own HTTP interface.
	Form string `yaml:"form" validate:"required"`
	// True when all daemons of the deployment start for the first time, so that no state of earlier processes has to be respected. Daemons then connect to each other before most of them read the store, and have their first placement about three seconds after they start.
	FirstStart bool `yaml:"first_start"`
	// Minimum time that the platform leaves between the end of a daemon's process and the start of the next one. The new process assumes that the previous one was active until then: it counts the requests that the previous one may have started at a cold backend server, and waits until leases of the previous one have expired, unless all other daemons are known to have started after that. If it is shorter than the start of the daemon takes, a backend server that starts together with its VM gets its first requests up to a second later.
	RestartAfter time.Duration `yaml:"restart_after" validate:"min=0"`
	// Bounds that the platform sets for all daemons, each as name=value. Those that the adapter knows override the settings under routing and teams; others are ignored.
	Bounds []string `yaml:"bounds"`
}

// Routing holds the settings of requests that are routed by host and path.
type Routing struct {
	// Number of attempts of a request that are soft: the gate of a slow or nearly full backend server refuses them at once. Later attempts may wait in the gate's queue.
	SoftAttempts int `yaml:"soft_attempts" validate:"min=0,max=10"`
	// Slowdown of the backend server above which its gate refuses soft attempts, as a factor; 1 is normal speed.
	SoftSlowdown float64 `yaml:"soft_slowdown" validate:"min=1"`
	// Share of a backend server's slots that its gate uses. A backend server that uses nearly all of its slots runs all requests more slowly.
	Use float64 `yaml:"use" validate:"min=0.1,max=1"`
	// Cost of sending a request of mean size to another region, as a share of its target latency. In a deployment with a single region, the cost of sending it to another data centre.
	LeaveCost float64 `yaml:"leave_cost" validate:"min=0,max=10"`
	// Cost of sending a request to another data centre of the same region, as a share of the cost of sending it to another region. 0: the ratio of the measured round trip times of the links.
	RegionShare float64 `yaml:"region_share" validate:"min=0,max=1"`
	// Region of each data centre, for placements that name regions. The data centre of this VM is known from vm.
	Regions map[string]string `yaml:"regions"`
	// Retry-After that callers receive when all backend servers are full.
	RetryAfter time.Duration `yaml:"retry_after" validate:"min=1ms"`
	// Allowed retries that reach a backend server, per request of the service.
	RetryRatio float64 `yaml:"retry_ratio" validate:"min=0,max=1"`
	// Number of retries that a service may use beyond retry_ratio, over all daemons.
	RetrySlack int `yaml:"retry_slack" validate:"min=0"`
	// Time in which retries are counted against retry_ratio and retry_slack.
	RetryWindow time.Duration `yaml:"retry_window" validate:"min=1ms"`
	// Age of the backend server's last load report after which the daemon checks its health path.
	HealthEvery time.Duration `yaml:"health_every" validate:"min=10ms"`
	// Cost of a health check, as a time. A request that could start triggers a check first if its run is expected to take longer by at least this time because the backend server may have become slower since its last load report.
	LookCost time.Duration `yaml:"look_cost" validate:"min=0"`
	// Maximum time that a request waits for a health check.
	LookWithin time.Duration `yaml:"look_within" validate:"min=1ms"`
	// Mean number of health checks per second that starting requests may trigger.
	LooksPerSecond int `yaml:"looks_per_second" validate:"min=0"`
	// Number of requests per second that the gate starts at a cold backend server, as a multiple of the service's cold_rate in the placement.
	ColdFactor float64 `yaml:"cold_factor" validate:"min=0"`
	// Number of requests per second that the gate may start at a cold backend server in addition to those of cold_factor.
	ColdSlack float64 `yaml:"cold_slack" validate:"min=0"`
	// Whether repeatable requests that backend servers make during a run are acknowledged by executors, and sent to another backend server if they are not acknowledged in time.
	AcknowledgeCalls bool `yaml:"acknowledge_calls"`
	// Whether callers that are refused because a service is short of capacity get return times of their own, along the rate at which the service accepts requests. Otherwise each gets retry_after.
	ScheduleReturns bool `yaml:"schedule_returns"`
	// Time for which a draining daemon still accepts routed requests, so that callers notice that it is not ready.
	Linger time.Duration `yaml:"linger" validate:"min=0"`
}

// Teams holds the settings of teams. Their keys and limits are part of the placement.
type Teams struct {
	// Number of requests by which a team may exceed its limit within limit_window, over all daemons. One half covers tokens that daemons hold but have not used, the other half replaces tokens that are lost when the daemon that counts a team's requests fails.
	LimitSlack float64 `yaml:"limit_slack" validate:"min=0"`
	// Window to which limit_slack applies.
	LimitWindow time.Duration `yaml:"limit_window" validate:"min=1s"`
	// Time after which a revoked key is refused by all daemons. A daemon that could not confirm for this time that its placement is in force refuses all requests with keys. 0: it continues to accept the keys that it knows.
	RevokeWithin time.Duration `yaml:"revoke_within" validate:"min=0"`
	// Whether callers of a team over its limit get return times of their own, for which tokens are set aside. Otherwise each is told the time of the next token.
	ScheduleReturns bool `yaml:"schedule_returns"`
}

// Links holds the settings of links between daemons.
type Links struct {
	// Time without traffic after which a daemon sends a heartbeat on a link. A link ends after three missed heartbeats. With more than 32 VMs both times grow with the number of VMs, up to four times.
	Heartbeat time.Duration `yaml:"heartbeat" validate:"min=50ms"`
	// VMs whose daemons a new daemon asks for the members and the placement, each as an IP address and a port. The port is ignored: links use the port of listen.links, which is the same on all VMs.
	Seeds []string `yaml:"seeds" validate:"dive,ip_port"`
	// Size in bytes above which the body of a call is sent to another daemon only as far as that daemon grants it, after its gate has admitted the call. Smaller bodies travel with their call. 0: no body waits for a grant.
	GrantBodiesAbove int `yaml:"grant_bodies_above" validate:"min=0"`
}

// Choosing holds the settings of the policy that picks a backend server.
type Choosing struct {
	// Name of the policy.
	Policy string `yaml:"policy" validate:"oneof=random round_robin least_outstanding hot_cold expected_wait idle_hints"`
	// Whether a gate refuses the first attempt at once if it is busier than the entry assumed.
	SoftFirst bool `yaml:"soft_first"`
	// Number of backend servers of a service up to which an entry sends calls to all of them.
	Subset int `yaml:"subset" validate:"min=2,max=1000"`
	// Maximum number of backend servers of its own data centre to which an entry sends calls of a larger service. Where routes of the service name data centres, at most 32, and fewer with many different lists of data centres.
	Near int `yaml:"near" validate:"min=1,max=1000"`
	// Number of backend servers of other data centres of the region to which an entry sends calls of a larger service. More if its own data centre has few, so that there are at least half of choosing.subset in total.
	Far int `yaml:"far" validate:"min=0,max=1000"`
	// Half-life of the weight of a load report.
	StampHalfLife time.Duration `yaml:"stamp_half_life" validate:"min=1ms"`
}

// Gate holds the settings of the gate in front of the backend server.
type Gate struct {
	// Maximum number of calls that wait at the gate.
	QueueLength int `yaml:"queue_length" validate:"min=0,max=100000"`
	// Maximum expected wait of a call that the gate accepts.
	QueueTime time.Duration `yaml:"queue_time" validate:"min=0"`
	// Order in which waiting calls start.
	Order string `yaml:"order" validate:"oneof=fifo edf priority slack"`
	// Whether the gate runs fewer calls than it has slots while a noisy neighbour slows the backend server down.
	Adaptive bool `yaml:"adaptive"`
}

// Retries holds the settings of retries and hedges.
type Retries struct {
	// Maximum number of attempts of one call, including the first one.
	Attempts int `yaml:"attempts" validate:"min=1,max=10"`
	// Retries allowed per answered call of a service.
	Budget float64 `yaml:"budget" validate:"min=0,max=1"`
	// Number of retries and of hedges that a service may use beyond budget and hedge_budget in each routing.retry_window, over all daemons.
	BudgetFloor int `yaml:"budget_floor" validate:"min=0"`
	// Hedges allowed per answered call, for the kinds that are marked safe for hedging.
	HedgeBudget float64 `yaml:"hedge_budget" validate:"min=0,max=1"`
	// Quantile of the response times after which a hedge is sent.
	HedgeQuantile float64 `yaml:"hedge_quantile" validate:"min=0.5,max=0.9999"`
	// Timeout of calls for which neither the caller nor the placement sets one.
	DefaultTimeout time.Duration `yaml:"default_timeout" validate:"min=1ms"`
}

// Once holds the settings of calls that may run at most once.
type Once struct {
	// Timeout for claiming a call in the table service. A shorter deadline of the call takes precedence.
	Timeout time.Duration `yaml:"timeout" validate:"min=1ms"`
	// Time for which an Idempotency-Key is stored. Callers must not retry with a key after that.
	KeepFor time.Duration `yaml:"keep_for" validate:"min=1m"`
	// Maximum size in bytes of an answer that is stored for retries of the same key.
	StoredAnswerBytes int `yaml:"stored_answer_bytes" validate:"min=0"`
}

// Placement holds the settings for reading and distributing placement versions.
type Placement struct {
	// Interval at which a head reader reads the number of the newest version in the store.
	HeadEvery time.Duration `yaml:"head_every" validate:"min=10ms"`
	// Number of daemons per data centre that are head readers.
	HeadReaders int `yaml:"head_readers" validate:"min=1,max=10"`
	// Number of daemons that follow the store's feed of placements, if it has one: per data centre or, with several regions, per region.
	FeedReaders int `yaml:"feed_readers" validate:"min=1,max=1000"`
	// Time after which calls of strict kinds are refused if nothing arrived from the store or from readers in other data centres.
	UnsureAfter time.Duration `yaml:"unsure_after" validate:"min=100ms"`
	// How calls are answered outside the allowed data centres of their kind.
	Misplaced string `yaml:"misplaced" validate:"oneof=redirect refuse"`
}

// Measurement holds the settings for load reports.
type Measurement struct {
	// Maximum bytes per second for load reports, including those on answers.
	BytesPerSecond int `yaml:"bytes_per_second" validate:"min=0"`
}

// Limits holds limits on requests, connections and links.
type Limits struct {
	// Memory of the daemon's process in bytes, above which the platform ends it. The garbage collector works harder as the process comes near it. 0: not known.
	MemoryBytes int `yaml:"memory_bytes" validate:"min=0"`
	// Maximum number of descriptors that the daemon's process may open, if the process's own limit is higher. Callers of routed requests take up at most half of them. 0: not known.
	Descriptors int `yaml:"descriptors" validate:"min=0"`
	// Maximum size of the body of a request or an answer, in bytes.
	MaxBodyBytes int `yaml:"max_body_bytes" validate:"min=1024"`
	// Maximum bytes of request bodies that this daemon holds in memory, at its entry and its executor together. At least limits.max_body_bytes. Requests beyond this limit are refused and do not run.
	BodiesBytes int `yaml:"bodies_bytes" validate:"min=1024"`
	// Maximum bytes of answers' bodies that this daemon's executor holds in memory; a sixth of limits.memory_bytes if that is less. An answer takes up to twice its size while it arrives, and one that does not fit is dropped. While the limit is reached, routed requests are refused and do not run.
	AnswersBytes int `yaml:"answers_bytes" validate:"min=1024"`
	// Maximum size of the headers of a request, in bytes.
	MaxHeaderBytes int `yaml:"max_header_bytes" validate:"min=1024"`
	// Maximum number of unanswered routed requests per connection. 1: a connection's requests run one after another.
	PipelinedRequests int `yaml:"pipelined_requests" validate:"min=1"`
	// Maximum bytes that are buffered per connection for routed requests and answers that wait for earlier answers, and maximum bytes that are read ahead.
	PipelinedBytes int `yaml:"pipelined_bytes" validate:"min=4096"`
	// Maximum number of calls in flight per IP address of a caller.
	CallsPerCaller int `yaml:"calls_per_caller" validate:"min=1"`
	// Maximum number of links that are accepted from other daemons.
	Links int `yaml:"links" validate:"min=1"`
}

// Drain holds the settings for the end of the daemon.
type Drain struct {
	// Maximum time that the daemon waits for calls in flight to end. If the platform states after what time it kills a stopping process, the bound is 14/15 of that time instead.
	Bound time.Duration `yaml:"bound" validate:"min=0"`
	// Minimum time for which the daemon refuses new calls with "leaving" before it closes its listeners.
	Linger time.Duration `yaml:"linger" validate:"min=0"`
}

// TLS names the certificate files. They are read again when they change.
type TLS struct {
	// Certificate of this daemon, PEM.
	Cert string `yaml:"cert" validate:"omitempty,file,required_with=Key CA"`
	// Private key of this daemon, PEM.
	Key string `yaml:"key" validate:"omitempty,file,required_with=Cert CA"`
	// Certificates of the authorities that sign the certificates of daemons and operators, PEM.
	CA string `yaml:"ca" validate:"omitempty,file,required_with=Cert Key"`
	// Whether the listeners for daemons and operators may be open to the network without TLS.
	PlainTextOnTheNetwork bool `yaml:"plain_text_on_the_network"`
}

// Operator holds the rights of one operator.
type Operator struct {
	// Common name of the operator's certificate. Without TLS, the name that the command line sends.
	Name string `yaml:"name" validate:"required"`
	// Services whose placement and roll-outs the operator may change. "*" stands for all services and includes the right to evacuate data centres.
	Services []string `yaml:"services" validate:"required,min=1"`
}

// Log holds the settings of the log.
type Log struct {
	// Lowest level of the lines that are written.
	Level string `yaml:"level" validate:"oneof=debug info warn error"`
	// Maximum number of lines per second. Routine lines are dropped first. The number of dropped lines is logged.
	LinesPerSecond int `yaml:"lines_per_second" validate:"min=1"`
	// Maximum number of bytes per second.
	BytesPerSecond int `yaml:"bytes_per_second" validate:"min=400"`
	// Bytes that are buffered while the reader of the log is blocked. Requests never wait for the log.
	BufferBytes int `yaml:"buffer_bytes" validate:"min=4096"`
}

// Default returns the default values of all settings.
func Default() Settings {
	return Settings{
		BackendServer: BackendServer{Slots: 12, Connections: 200, DialTimeout: 500 * time.Millisecond},
		Platform:      Platform{Timeout: 2 * time.Second, VMListEvery: time.Second, Form: "http", RestartAfter: 100 * time.Millisecond},
		Choosing:      Choosing{Policy: "expected_wait", SoftFirst: true, Subset: 16, Near: 32, Far: 4, StampHalfLife: 20 * time.Millisecond},
		Routing: Routing{
			SoftAttempts: 3, SoftSlowdown: 1.8, Use: 0.8, LeaveCost: 0.8,
			RetryAfter: 300 * time.Millisecond, RetryRatio: 0.15, RetrySlack: 50, RetryWindow: 10 * time.Second,
			HealthEvery: 150 * time.Millisecond, LookCost: 4 * time.Millisecond, LookWithin: 8 * time.Millisecond,
			LooksPerSecond: 40, ColdFactor: 1, Linger: 2500 * time.Millisecond,
			AcknowledgeCalls: true,
		},
		Teams: Teams{LimitSlack: 20, LimitWindow: 5 * time.Second},
		Links: Links{Heartbeat: time.Second, GrantBodiesAbove: 32 << 10},
		Gate:  Gate{QueueLength: 200, QueueTime: time.Second, Order: "edf", Adaptive: true},
		Retries: Retries{
			Attempts: 3, Budget: 0.2, BudgetFloor: 50,
			HedgeBudget: 0.05, HedgeQuantile: 0.99, DefaultTimeout: 5 * time.Second,
		},
		Once: Once{Timeout: 500 * time.Millisecond, KeepFor: 48 * time.Hour, StoredAnswerBytes: 4096},
		Placement: Placement{
			HeadEvery: time.Second, HeadReaders: 2, FeedReaders: 3,
			UnsureAfter: 15 * time.Second, Misplaced: "redirect",
		},
		Measurement: Measurement{BytesPerSecond: 15000},
		Limits: Limits{
			// The smallest daemon processes have 184 MB of memory and use 17 MB of it without
			// large bodies. The garbage collector may let the memory for held bodies double.
			MaxBodyBytes: 8 << 20, BodiesBytes: 64 << 20, AnswersBytes: 128 << 20, MaxHeaderBytes: 16 << 10,
			// Callers have up to 3 unanswered requests per connection, with answers
			// of up to 30 kB, and up to 26 connections per daemon. These hold at most 26 x
			// (256 kB read ahead + 256 kB + 3 x 30 kB), 16 MB of the 184 MB.
			PipelinedRequests: 16, PipelinedBytes: 256 << 10,
			CallsPerCaller: 1000, Links: 2000,
		},
		Drain: Drain{Bound: 30 * time.Second, Linger: 500 * time.Millisecond},
		Log:   Log{Level: "info", LinesPerSecond: 500, BytesPerSecond: 200_000, BufferBytes: 256 << 10},
		Tick:  10 * time.Millisecond,
	}
}
