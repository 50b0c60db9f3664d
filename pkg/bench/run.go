package bench

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/callers"
	"github.com/rushramp/rushramp/pkg/choose"
	"github.com/rushramp/rushramp/pkg/loopback"
	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/standin/backend"
)

// Options configures one run.
type Options struct {
	Duration time.Duration
	// Policy is a policy name known to choose.New, "oracle", or "direct", which
	// sends calls straight to random backend servers without daemons. A suffix
	// "+soft" or "-soft" turns the soft first attempt on or off.
	// ":section.field=value;..." at the end changes settings.
	Policy string
	Seed   uint64
	// SkipIdle skips measuring the control-plane cost before the load.
	SkipIdle bool
	// AdaptSettings adapts the daemons' settings, after Policy; may be nil.
	AdaptSettings func(*settings.Settings)
}

// outcome is the result of a call as seen by its caller.
type outcome struct {
	arrival *arrival
	entry   *node
	began   time.Time
	// latency is the time from the intended start to the end.
	latency time.Duration
	status  int
	// errorKind and ran are the values of the headers Rushramp-Error and
	// Rushramp-Ran; empty on an answer from a backend server.
	errorKind string
	ran       string
	err       error
	// crossed means that the body belongs to another call, truncated that it is
	// incomplete.
	crossed   bool
	truncated bool
	// detail describes a crossed or truncated answer.
	detail string
}

// answered reports whether the answer came from a backend server.
func (o *outcome) answered() bool { return o.err == nil && o.errorKind == "" }

// settleTime is the pause before and after the load, in which links and servers
// become idle.
const settleTime = 300 * time.Millisecond

// idleWindow is how long the control-plane cost is measured before the load
// begins.
const idleWindow = time.Second

// Run runs a deployment under its load and returns the report.
func Run(d *Deployment, opts Options) (*Report, error) {
	clusterOpts, err := policyOptions(opts)
	if err != nil {
		return nil, err
	}
	c, err := startCluster(d, clusterOpts)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	if err := c.warmUp(); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	idle := 0.0
	if !opts.SkipIdle {
		idle = measureIdleCPU(c, idleWindow)
	}
	arrivals := drawArrivals(d, opts.Duration, opts.Seed)
	before := c.counters()
	stopShape := startShape(c)
	outcomes := c.sendArrivals(arrivals, opts.Policy == directPolicy)
	stopShape()
	time.Sleep(settleTime)
	return newReport(c, opts, arrivals, outcomes, before, idle)
}

// policyOptions translates Options.Policy and Options.AdaptSettings into cluster
// options.
func policyOptions(opts Options) (clusterOptions, error) {
	text, assignments, _ := strings.Cut(opts.Policy, ":")
	name, soft, err := splitPolicy(text)
	if err != nil {
		return clusterOptions{}, err
	}
	if err := applySettings(assignments, &settings.Settings{}); err != nil {
		return clusterOptions{}, err
	}
	out := clusterOptions{adaptSettings: func(s *settings.Settings) {
		if name != "" && name != oraclePolicy {
			s.Choosing.Policy = name
		}
		if soft != nil {
			s.Choosing.SoftFirst = *soft
		}
		// An error would have been returned by the first call above.
		_ = applySettings(assignments, s)
		if opts.AdaptSettings != nil {
			opts.AdaptSettings(s)
		}
	}}
	if name == oraclePolicy {
		out.newPolicy = newOracle
	}
	return out, nil
}

// applySettings sets fields of s from "section.field=value" assignments,
// separated by semicolons.
func applySettings(assignments string, s *settings.Settings) error {
	for _, assignment := range strings.FieldsFunc(assignments, func(r rune) bool { return r == ';' }) {
		path, value, ok := strings.Cut(assignment, "=")
		section, field, dotted := strings.Cut(path, ".")
		if !ok || !dotted {
			return errors.Errorf("invalid setting %q: want section.field=value", assignment)
		}
		text := fmt.Sprintf("%s: {%s: %s}", section, field, value)
		if err := yaml.UnmarshalWithOptions([]byte(text), s, yaml.Strict()); err != nil {
			return errors.Wrapf(err, "setting %q", assignment)
		}
	}
	return nil
}

// Policy names that exist in the bench only.
const (
	oraclePolicy = "oracle"
	directPolicy = "direct"
)

// splitPolicy parses "name", "name+soft" or "name-soft". soft is nil when the
// name leaves the setting as it is.
func splitPolicy(text string) (name string, soft *bool, err error) {
	on, off := true, false
	switch {
	case text == "" || text == directPolicy:
		return "", nil, nil
	case len(text) > 5 && text[len(text)-5:] == "+soft":
		name, soft = text[:len(text)-5], &on
	case len(text) > 5 && text[len(text)-5:] == "-soft":
		name, soft = text[:len(text)-5], &off
	case text == oraclePolicy:
		return text, &off, nil
	default:
		name = text
	}
	if name == oraclePolicy {
		return name, soft, nil
	}
	_, err = choose.New(name, choose.Options{})
	return name, soft, errors.Wrap(err, "policy")
}

// caller sends calls over HTTP and does not retry them.
type caller struct{ http *client.Client }

func newCaller() (*caller, error) {
	c, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithMaxConnsPerHost(1<<16),
		client.WithDialTimeout(time.Second),
	)
	if err != nil {
		return nil, errors.Wrap(err, "create the HTTP client of the load")
	}
	c.SetRetryIfFunc(func(*protocol.Request, *protocol.Response, error) bool { return false })
	return &caller{http: c}, nil
}

// callerTimeout is how long a caller waits for the result of a call.
const callerTimeout = 30 * time.Second

// send sends a call to address and waits for the result. to is the daemon of
// that address, intended the time from which latency counts.
func (c *caller) send(a *arrival, to *node, address string, intended time.Time) outcome {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	a.fillRequest(req, address)
	out := outcome{arrival: a, entry: to, began: intended}
	out.err = c.http.Do(context.Background(), req, resp)
	out.latency = time.Since(intended)
	if out.err != nil {
		return out
	}
	out.status = resp.StatusCode()
	out.errorKind = string(resp.Header.Peek(callers.HeaderError))
	out.ran = string(resp.Header.Peek(callers.HeaderRan))
	if out.answered() && out.status == http.StatusOK {
		out.checkBody(resp.Body())
	}
	return out
}

// fillRequest builds the HTTP request of a call.
func (a *arrival) fillRequest(req *protocol.Request, address string) {
	k := &a.kind.Placement
	method := k.Method
	if method == "" {
		method = http.MethodGet
	}
	path := k.Path
	if path[len(path)-1] == '*' {
		path = path[:len(path)-1] + a.id
	}
	req.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	req.Header.Set(callers.HeaderService, a.service.Name)
	req.Header.Set(backend.HeaderCallID, a.ledgerID())
	req.Header.Set(backend.HeaderWork, strconv.FormatInt(a.serviceTime.Microseconds(), 10))
	req.Header.Set(backend.HeaderAnswer, strconv.Itoa(a.kind.AnswerBytes))
	if a.key != "" {
		req.Header.Set(callers.HeaderIdempotencyKey, a.key)
	}
	if a.kind.Timeout > 0 {
		req.Header.Set(callers.HeaderTimeout, strconv.FormatInt(a.kind.Timeout.Milliseconds(), 10))
	}
	if n := a.kind.RequestBytes; n > 0 {
		req.SetBody(make([]byte, n))
	}
	req.SetOptions(config.WithRequestTimeout(callerTimeout))
}

// checkBody sets crossed and truncated when the body is not what the stand-in
// returns for this call.
func (o *outcome) checkBody(body []byte) {
	a := o.arrival
	// A never-repeat call may get the stored answer of one of its earlier attempts.
	for attempt := a.attempt; attempt >= 0; attempt-- {
		earlier := *a
		earlier.attempt = attempt
		want := backend.AnswerBody(earlier.ledgerID(), a.kind.AnswerBytes, make([]byte, a.kind.RequestBytes))
		if string(body) == string(want) {
			o.truncated = false
			return
		}
		o.truncated = len(body) < len(want)
	}
	o.crossed = !o.truncated
	o.detail = fmt.Sprintf("%s attempt %d through %s: %d bytes, begin %.60q", a.id, a.attempt, o.entry.vm.ID, len(body), body)
}

// sendArrivals sends the calls at their intended times without waiting for
// earlier answers, and returns all outcomes.
func (c *cluster) sendArrivals(arrivals []arrival, direct bool) []outcome {
	sender, err := newCaller()
	if err != nil {
		return nil
	}
	outcomes := make([]outcome, len(arrivals))
	var wait sync.WaitGroup
	start := time.Now()
	for i := range arrivals {
		a := &arrivals[i]
		intended := start.Add(a.at)
		c.clock.SleepUntil(intended)
		entries := c.entriesFor(&a.kind.Placement)
		to := entries[a.entryDraw%uint64(len(entries))]
		address := to.vm.Callers
		if direct {
			address = c.backendAddressFor(a)
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			outcomes[i] = sender.send(a, to, address, intended)
		}()
	}
	wait.Wait()
	return outcomes
}

// backendAddressFor returns the address of a random backend server that may
// handle the call.
func (c *cluster) backendAddressFor(a *arrival) string {
	var out []*node
	for _, n := range c.nodes {
		if n.vm.Service == a.service.Name && allowedIn(a.kind, n.vm.DataCentre) {
			out = append(out, n)
		}
	}
	return out[a.entryDraw%uint64(len(out))].address.Address(loopback.PortBackend)
}

// warmUp sends a few short calls of each kind through each entry, so that links
// and connections are open before the measurement.
func (c *cluster) warmUp() error {
	sender, err := newCaller()
	if err != nil {
		return err
	}
	for si := range c.deployment.Services {
		s := &c.deployment.Services[si]
		for ki := range s.Kinds {
			c.warmUpKind(sender, s, &s.Kinds[ki])
		}
	}
	return nil
}

// warmUpCalls is the number of calls of each kind that warmUp sends through
// each entry.
const warmUpCalls = 4

func (c *cluster) warmUpKind(sender *caller, s *Service, k *Kind) {
	var wait sync.WaitGroup
	for _, n := range c.entriesFor(&k.Placement) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := range warmUpCalls {
				id := "warm-" + n.vm.ID + "-" + s.Name + "-" + k.Placement.Name + "-" + strconv.Itoa(i)
				a := &arrival{id: id, service: s, kind: k, serviceTime: k.ServiceTime / 4}
				if k.Placement.NeverRepeat {
					a.key = id
				}
				sender.send(a, n, n.vm.Callers, time.Now())
			}
		}()
	}
	wait.Wait()
}
