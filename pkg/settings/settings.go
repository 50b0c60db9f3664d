// Package settings holds the daemon's settings: one commented struct, its
// defaults, and the checks. docs/SETTINGS.md is generated from this file.
package settings

import (
	"time"
)

// Settings is everything that one rushrampd reads at its start. Durations are
// written as in "10ms" or "2s".
type Settings struct {
	// The identity of the VM that this daemon runs on.
	VM VM `yaml:"vm"`
	// The addresses that this daemon listens on.
	Listen Listen `yaml:"listen"`
	// The backend server that this daemon guards. Without an address the daemon
	// is an entry only.
	BackendServer BackendServer `yaml:"backend_server"`
	// The platform's table service, object store and VM list.
	Platform Platform `yaml:"platform"`
	// How a backend server is chosen.
	Choosing Choosing `yaml:"choosing"`
	// Requests that are routed by host and path.
	Routing Routing `yaml:"routing"`
	// Teams, their keys and limits.
	Teams Teams `yaml:"teams"`
	// Links between daemons.
	Links Links `yaml:"links"`
	// The gate in front of the backend server.
	Gate Gate `yaml:"gate"`
	// Retries and hedges.
	Retries Retries `yaml:"retries"`
	// Calls that may never be repeated.
	Once Once `yaml:"once"`
	// How the placement is kept up to date.
	Placement Placement `yaml:"placement"`
	// The budget for measuring load.
	Measurement Measurement `yaml:"measurement"`
	// Bounds on what callers may send.
	Limits Limits `yaml:"limits"`
	// How the daemon leaves.
	Drain Drain `yaml:"drain"`
	// Certificates for daemons and operators.
	TLS TLS `yaml:"tls"`
	// Who may change which placements.
	Operators []Operator `yaml:"operators" validate:"dive"`
	// The log.
	Log Log `yaml:"log"`
	// Time between two runs of the systems.
	Tick time.Duration `yaml:"tick" validate:"min=1ms,max=1s"`
}

// VM names the VM and where it stands.
type VM struct {
	// Name of the VM, as the platform's list of VMs gives it.
	ID string `yaml:"id" validate:"required"`
	// Region that the data centre belongs to.
	Region string `yaml:"region"`
	// Data centre that this VM stands in.
	DataCentre string `yaml:"data_centre" validate:"required"`
}

// Listen holds the addresses of the listeners, each an IP number and a port.
type Listen struct {
	// Callers' HTTP requests.
	Callers string `yaml:"callers" validate:"required,ip_port"`
	// Links from other daemons.
	Links string `yaml:"links" validate:"required,ip_port"`
	// Operators' gRPC calls.
	Operators string `yaml:"operators" validate:"required,ip_port"`
	// Metrics, health and readiness over HTTP.
	Metrics string `yaml:"metrics" validate:"required,ip_port"`
	// Requests that are routed by host and path; empty: none are taken.
	Routed string `yaml:"routed" validate:"omitempty,ip_port"`
	// Readiness alone, for a platform that asks elsewhere than at metrics; empty: not served.
	Readiness string `yaml:"readiness" validate:"omitempty,ip_port"`
	// Announcements of the backend server beside this daemon; empty: it announces nothing.
	Announcements string `yaml:"announcements" validate:"omitempty,ip_port"`
}

// BackendServer describes the backend server beside this daemon.
type BackendServer struct {
	// Service that the backend server runs.
	Service string `yaml:"service" validate:"required_with=Address"`
	// Address of the backend server; empty for a daemon that is an entry only.
	Address string `yaml:"address" validate:"omitempty,ip_port"`
	// Version of the service's program that the backend server runs, as operators name it in roll-outs; empty: it takes part in none. Only with platform.form "http" and without listen.routed: elsewhere backend servers announce their version.
	Version string `yaml:"version" validate:"max=256"`
	// Number of calls that the backend server runs at once.
	Slots int `yaml:"slots" validate:"min=1,max=10000"`
	// Largest number of connections that the daemon opens to it.
	Connections int `yaml:"connections" validate:"min=1,max=10000"`
	// Time to open a connection before the backend server counts as unreachable.
	DialTimeout time.Duration `yaml:"dial_timeout" validate:"min=1ms"`
	// Path that takes cancellations, with the call's id appended; empty when the backend server takes none.
	CancelPath string `yaml:"cancel_path"`
}

// Platform says how the platform is reached.
type Platform struct {
	// Address of the platform's HTTP service.
	Address string `yaml:"address" validate:"required,ip_port"`
	// Longest wait for one answer of the platform.
	Timeout time.Duration `yaml:"timeout" validate:"min=1ms"`
	// Time between two reads of the list of VMs.
	VMListEvery time.Duration `yaml:"vm_list_every" validate:"min=10ms"`
	// Name of the adapter that speaks to the platform; "http" is the product's own.
	Form string `yaml:"form" validate:"required"`
	// True when the whole system starts for the first time, so that nothing of an earlier run binds. Daemons then learn of each other before most of them ask the store, and have their first placement some three seconds after they start.
	FirstStart bool `yaml:"first_start"`
	// Least time between the end of a daemon's process and the start of the next one, as the platform keeps it. What the one before may have started at a cold backend server counts as started by then; a VM that starts together with its backend server loses a second to that where it is shorter than the daemon's own start takes.
	RestartAfter time.Duration `yaml:"restart_after" validate:"min=0"`
	// What the platform holds all daemons to, each entry name=value; those that the adapter knows go before the settings under routing.
	Bounds []string `yaml:"bounds"`
}

// Routing holds the settings of requests that are routed by host and path.
type Routing struct {
	// Attempts that a slowed or nearly full backend server's gate refuses at once, before one may queue.
	SoftAttempts int `yaml:"soft_attempts" validate:"min=0,max=10"`
	// Slowdown, 1 for none, above which a gate refuses soft attempts.
	SoftSlowdown float64 `yaml:"soft_slowdown" validate:"min=1"`
	// Share of a backend server's slots that its gate uses: work slows for all runs of one that is nearly full.
	Use float64 `yaml:"use" validate:"min=0.1,max=1"`
	// What the dearest crossing of a request costs, as a share of its target latency: to another region or, in a deployment of one, to another data centre.
	LeaveCost float64 `yaml:"leave_cost" validate:"min=0,max=10"`
	// What a crossing to another data centre of the own region costs of that, as bytes there cost of bytes between regions; 0: told by the links, as the round trip there is of that to other regions.
	RegionShare float64 `yaml:"region_share" validate:"min=0,max=1"`
	// Region of each data centre, for placements that name regions. The own one is known from vm.
	Regions map[string]string `yaml:"regions"`
	// When callers that found all backend servers full are told to come back.
	RetryAfter time.Duration `yaml:"retry_after" validate:"min=1ms"`
	// Retries that reach a backend server, per request of the service.
	RetryRatio float64 `yaml:"retry_ratio" validate:"min=0,max=1"`
	// Retries of all daemons together that a service may save up besides.
	RetrySlack int `yaml:"retry_slack" validate:"min=0"`
	// Age of the backend server's own word on its speed after which its health path is asked.
	HealthEvery time.Duration `yaml:"health_every" validate:"min=10ms"`
	// What asking it costs, as a time: a request that could start asks first where its run is expected to take that much longer, since a slow spell may have begun after the newest word.
	LookCost time.Duration `yaml:"look_cost" validate:"min=0"`
	// Longest time that a request waits for the answer of the health path.
	LookWithin time.Duration `yaml:"look_within" validate:"min=1ms"`
	// Questions to the health path a second that starting requests may cause, in the mean.
	LooksPerSecond int `yaml:"looks_per_second" validate:"min=0"`
	// How many times what a cold backend server bears, by the placement's cold_rate, its gate starts in a second.
	ColdFactor float64 `yaml:"cold_factor" validate:"min=0"`
	// Starts in a second that a cold backend server may get besides.
	ColdSlack float64 `yaml:"cold_slack" validate:"min=0"`
	// Time that a drained daemon goes on taking requests.
	Linger time.Duration `yaml:"linger" validate:"min=0"`
}

// Teams holds the settings of teams, whose keys and limits the placement names.
type Teams struct {
	// Requests by which a team may exceed its limit in limit_window, over all daemons together. Half of it lets tokens lie unused at daemons, half makes up for those that are lost with the daemon that counts.
	LimitSlack float64 `yaml:"limit_slack" validate:"min=0"`
	// The window in which that holds.
	LimitWindow time.Duration `yaml:"limit_window" validate:"min=1s"`
	// Time after which a key that was taken away lets no request in anywhere. A daemon that cannot tell for so long whether keys are in force refuses requests with keys; 0: it goes on letting them in.
	RevokeWithin time.Duration `yaml:"revoke_within" validate:"min=0"`
}

// Links holds the settings of links between daemons.
type Links struct {
	// Time without traffic after which a link carries a heartbeat; three missed ones end it. Above 32 VMs both are stretched with the fleet, up to four times.
	Heartbeat time.Duration `yaml:"heartbeat" validate:"min=50ms"`
	// VMs whose daemons a new daemon asks for members and the placement, each an IP number and a port. The port is passed over: links use that of listen.links, which is alike on all VMs.
	Seeds []string `yaml:"seeds" validate:"dive,ip_port"`
}

// Choosing holds the settings of the policy that picks a backend server.
type Choosing struct {
	// Name of the policy.
	Policy string `yaml:"policy" validate:"oneof=random round_robin least_outstanding hot_cold expected_wait idle_hints"`
	// Whether the first attempt is refused at once by a gate that is busier than the entry believed.
	SoftFirst bool `yaml:"soft_first"`
	// Number of backend servers up to which an entry works with all of a service.
	Subset int `yaml:"subset" validate:"min=2,max=1000"`
	// Most backend servers of its own data centre that an entry works with in a larger service; 32 at most, and fewer with many lists, where routes of the service name data centres.
	Near int `yaml:"near" validate:"min=1,max=1000"`
	// Number of backend servers of other data centres of the region that it works with besides; more where the own one has few, so that there are half of choosing.subset in all.
	Far int `yaml:"far" validate:"min=0,max=1000"`
	// Age at which a load report has lost most of its weight.
	StampHalfLife time.Duration `yaml:"stamp_half_life" validate:"min=1ms"`
}

// Gate holds the settings of the gate in front of the backend server.
type Gate struct {
	// Largest number of calls that wait at the gate.
	QueueLength int `yaml:"queue_length" validate:"min=0,max=100000"`
	// Longest expected wait that the gate accepts.
	QueueTime time.Duration `yaml:"queue_time" validate:"min=0"`
	// Order in which waiting calls start.
	Order string `yaml:"order" validate:"oneof=fifo edf priority slack"`
	// Whether the limit falls below the slots while a noisy neighbour slows the backend server.
	Adaptive bool `yaml:"adaptive"`
}

// Retries holds the settings of retries and hedges.
type Retries struct {
	// Most attempts of one call, the first included.
	Attempts int `yaml:"attempts" validate:"min=1,max=10"`
	// Retries allowed per answered call, over the whole service.
	Budget float64 `yaml:"budget" validate:"min=0,max=1"`
	// Retries that a service may use before any call was answered.
	BudgetFloor int `yaml:"budget_floor" validate:"min=0"`
	// Hedges allowed per answered call of the kinds marked safe.
	HedgeBudget float64 `yaml:"hedge_budget" validate:"min=0,max=1"`
	// Quantile of the answer times after which a hedge is sent.
	HedgeQuantile float64 `yaml:"hedge_quantile" validate:"min=0.5,max=0.9999"`
	// Time that a call has when neither the caller nor the placement names one.
	DefaultTimeout time.Duration `yaml:"default_timeout" validate:"min=1ms"`
}

// Once holds the settings of calls that may never be repeated.
type Once struct {
	// Longest wait for the table service at a claim; a shorter deadline of the call goes first.
	Timeout time.Duration `yaml:"timeout" validate:"min=1ms"`
	// Time for which an Idempotency-Key is remembered. A caller may not retry a key after it.
	KeepFor time.Duration `yaml:"keep_for" validate:"min=1m"`
	// Largest answer that is kept for a repeat, in bytes.
	StoredAnswerBytes int `yaml:"stored_answer_bytes" validate:"min=0"`
}

// Placement holds the settings of how placement versions are followed.
type Placement struct {
	// Time between two reads of the head by a head reader.
	HeadEvery time.Duration `yaml:"head_every" validate:"min=10ms"`
	// Number of head readers per data centre.
	HeadReaders int `yaml:"head_readers" validate:"min=1,max=10"`
	// Number of daemons per data centre that follow a feed of placements, where the store has one; in a deployment of several regions, per region.
	FeedReaders int `yaml:"feed_readers" validate:"min=1,max=1000"`
	// Time without news of the store or of other data centres after which strict kinds are refused.
	UnsureAfter time.Duration `yaml:"unsure_after" validate:"min=100ms"`
	// What a caller outside the allowed data centres receives.
	Misplaced string `yaml:"misplaced" validate:"oneof=redirect refuse"`
}

// Measurement is the budget of this daemon for measuring load.
type Measurement struct {
	// Bytes a second that load reports may take, those on answers included.
	BytesPerSecond int `yaml:"bytes_per_second" validate:"min=0"`
}

// Limits bounds what one caller may send.
type Limits struct {
	// Largest body of a request or an answer, in bytes.
	MaxBodyBytes int `yaml:"max_body_bytes" validate:"min=1024"`
	// Bytes of request bodies that this daemon holds at once, those of its entry and of its executor together; at least limits.max_body_bytes. Requests beyond are refused as not run.
	BodiesBytes int `yaml:"bodies_bytes" validate:"min=1024"`
	// Largest head of a request, in bytes.
	MaxHeaderBytes int `yaml:"max_header_bytes" validate:"min=1024"`
	// Routed requests of one connection that may be unanswered at once; 1: none runs beside another.
	PipelinedRequests int `yaml:"pipelined_requests" validate:"min=1"`
	// Bytes that the routed requests of one connection and their answers may hold while they wait for their turn, and bytes read ahead of it.
	PipelinedBytes int `yaml:"pipelined_bytes" validate:"min=4096"`
	// Calls in flight from one caller address.
	CallsPerCaller int `yaml:"calls_per_caller" validate:"min=1"`
	// Links accepted from other daemons.
	Links int `yaml:"links" validate:"min=1"`
}

// Drain says how the daemon leaves.
type Drain struct {
	// Longest time that calls in flight have to end.
	Bound time.Duration `yaml:"bound" validate:"min=0"`
	// Time that the daemon keeps refusing with "leaving" before it closes its listeners.
	Linger time.Duration `yaml:"linger" validate:"min=0"`
}

// TLS names the certificate files. They are read again when they change.
type TLS struct {
	// Certificate of this daemon, PEM.
	Cert string `yaml:"cert" validate:"omitempty,file,required_with=Key CA"`
	// Private key of this daemon, PEM.
	Key string `yaml:"key" validate:"omitempty,file,required_with=Cert CA"`
	// Authorities that sign the certificates of daemons and operators, PEM.
	CA string `yaml:"ca" validate:"omitempty,file,required_with=Cert Key"`
	// Set to true to run without TLS on addresses other than loopback.
	PlainTextOnTheNetwork bool `yaml:"plain_text_on_the_network"`
}

// Operator gives one operator rights. The list is empty when any operator who
// reaches the listener may change anything.
type Operator struct {
	// Name in the operator's certificate, or the name that the command line sends on loopback.
	Name string `yaml:"name" validate:"required"`
	// Services whose placement the operator may change; "*" stands for all.
	Services []string `yaml:"services" validate:"required,min=1"`
}

// Log holds the settings of the log.
type Log struct {
	// Least severe level that is written.
	Level string `yaml:"level" validate:"oneof=debug info warn error"`
	// Most lines a second. Routine lines are left out first; what is left out is counted in a line of its own.
	LinesPerSecond int `yaml:"lines_per_second" validate:"min=1"`
	// Most bytes a second. Each line counts with its length.
	BytesPerSecond int `yaml:"bytes_per_second" validate:"min=400"`
	// Bytes that may wait for a reader that stands still. Requests never wait for it.
	BufferBytes int `yaml:"buffer_bytes" validate:"min=4096"`
}

// Default returns the settings that hold where a file says nothing.
func Default() Settings {
	return Settings{
		BackendServer: BackendServer{Slots: 12, Connections: 200, DialTimeout: 500 * time.Millisecond},
		Platform:      Platform{Timeout: 2 * time.Second, VMListEvery: time.Second, Form: "http", RestartAfter: 100 * time.Millisecond},
		Choosing:      Choosing{Policy: "expected_wait", SoftFirst: true, Subset: 16, Near: 32, Far: 4, StampHalfLife: 20 * time.Millisecond},
		Routing: Routing{
			SoftAttempts: 3, SoftSlowdown: 1.8, Use: 0.8, LeaveCost: 0.8,
			RetryAfter: 300 * time.Millisecond, RetryRatio: 0.15, RetrySlack: 50,
			HealthEvery: 150 * time.Millisecond, LookCost: 4 * time.Millisecond, LookWithin: 8 * time.Millisecond,
			LooksPerSecond: 40, ColdFactor: 1, Linger: 2500 * time.Millisecond,
		},
		Teams: Teams{LimitSlack: 20, LimitWindow: 5 * time.Second},
		Links: Links{Heartbeat: time.Second},
		Gate:  Gate{QueueLength: 200, QueueTime: time.Second, Order: "edf", Adaptive: true},
		Retries: Retries{
			Attempts: 3, Budget: 0.2, BudgetFloor: 10,
			HedgeBudget: 0.05, HedgeQuantile: 0.99, DefaultTimeout: 5 * time.Second,
		},
		Once: Once{Timeout: 500 * time.Millisecond, KeepFor: 48 * time.Hour, StoredAnswerBytes: 4096},
		Placement: Placement{
			HeadEvery: time.Second, HeadReaders: 2, FeedReaders: 3,
			UnsureAfter: 15 * time.Second, Misplaced: "redirect",
		},
		Measurement: Measurement{BytesPerSecond: 15000},
		Limits: Limits{
			// The users' smallest processes have 184 MB and take 17 MB at their peak
			// without large bodies; the garbage collector lets held bytes double.
			MaxBodyBytes: 8 << 20, BodiesBytes: 64 << 20, MaxHeaderBytes: 16 << 10,
			// Users' callers have up to 3 requests unanswered on a connection, and
			// answers of 30 kB at most; some 26 connections a daemon on their busiest
			// site hold 26 x (256 kB read ahead + 256 kB + 3 answers of 30 kB), 16 MB at
			// most of 184 MB.
			PipelinedRequests: 16, PipelinedBytes: 256 << 10,
			CallsPerCaller: 1000, Links: 2000,
		},
		Drain: Drain{Bound: 30 * time.Second, Linger: 500 * time.Millisecond},
		Log:   Log{Level: "info", LinesPerSecond: 500, BytesPerSecond: 200_000, BufferBytes: 256 << 10},
		Tick:  10 * time.Millisecond,
	}
}
