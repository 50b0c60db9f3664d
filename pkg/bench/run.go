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

// Options are those of one run.
type Options struct {
	Duration time.Duration
	// Policy is a name of choose.New, with "oracle" besides; a "+soft" or
	// "-soft" at its end turns the soft first attempt on or off, and
	// ":section.field=value;..." changes settings.
	// "direct" sends calls straight to random backend servers, past the daemons.
	Policy string
	Seed   uint64
	// SkipIdle leaves out the second before the load that measures control.
	SkipIdle bool
	// Change adapts the daemons' settings further.
	Change func(*settings.Settings)
}

// outcome is how a call ended for its caller.
type outcome struct {
	arrival *arrival
	entry   *node
	began   time.Time
	// whole is the time from the intended start to the end.
	whole  time.Duration
	status int
	// kind and ran are rushramp's own headers; empty on an answer.
	kind string
	ran  string
	err  error
	// crossed and truncated tell of an answer that is not this call's whole one.
	crossed   bool
	truncated bool
	// detail says what was wrong with the answer.
	detail string
}

// answered is true for a backend server's own whole answer.
func (o *outcome) answered() bool { return o.err == nil && o.kind == "" }

// settle is how long servers and links get to become quiet around a run.
const settle = 300 * time.Millisecond

// idleWindow is how long control work is measured before the load begins.
const idleWindow = time.Second

// Run runs a deployment under its load and reports.
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
	if err := c.warm(); err != nil {
		return nil, err
	}
	time.Sleep(settle)
	idle := 0.0
	if !opts.SkipIdle {
		idle = measureIdle(c, idleWindow)
	}
	arrivals := drawArrivals(d, opts.Duration, opts.Seed)
	before := c.counters()
	stopShape := startShape(c)
	outcomes := c.load(arrivals, opts.Policy == directName)
	stopShape()
	time.Sleep(settle)
	return newReport(c, opts, arrivals, outcomes, before, idle)
}

func policyOptions(opts Options) (clusterOptions, error) {
	text, overlays, _ := strings.Cut(opts.Policy, ":")
	name, soft, err := splitPolicy(text)
	if err != nil {
		return clusterOptions{}, err
	}
	if err := overlay(overlays, &settings.Settings{}); err != nil {
		return clusterOptions{}, err
	}
	out := clusterOptions{change: func(s *settings.Settings) {
		if name != "" && name != oracleName {
			s.Choosing.Policy = name
		}
		if soft != nil {
			s.Choosing.SoftFirst = *soft
		}
		// The words were tried above.
		_ = overlay(overlays, s)
		if opts.Change != nil {
			opts.Change(s)
		}
	}}
	if name == oracleName {
		out.policy = newOracle
	}
	return out, nil
}

// overlay applies "section.field=value" words, with semicolons between.
func overlay(words string, s *settings.Settings) error {
	for _, word := range strings.FieldsFunc(words, func(r rune) bool { return r == ';' }) {
		path, value, ok := strings.Cut(word, "=")
		section, field, dotted := strings.Cut(path, ".")
		if !ok || !dotted {
			return errors.Errorf("%q is no setting; write section.field=value", word)
		}
		text := fmt.Sprintf("%s: {%s: %s}", section, field, value)
		if err := yaml.UnmarshalWithOptions([]byte(text), s, yaml.Strict()); err != nil {
			return errors.Wrapf(err, "setting %q", word)
		}
	}
	return nil
}

// The names of what exists in the bench only.
const (
	oracleName = "oracle"
	directName = "direct"
)

// splitPolicy reads "name", "name+soft" or "name-soft".
func splitPolicy(text string) (name string, soft *bool, err error) {
	on, off := true, false
	switch {
	case text == "" || text == directName:
		return "", nil, nil
	case len(text) > 5 && text[len(text)-5:] == "+soft":
		name, soft = text[:len(text)-5], &on
	case len(text) > 5 && text[len(text)-5:] == "-soft":
		name, soft = text[:len(text)-5], &off
	case text == oracleName:
		return text, &off, nil
	default:
		name = text
	}
	if name == oracleName {
		return name, soft, nil
	}
	_, err = choose.New(name, choose.Options{})
	return name, soft, errors.Wrap(err, "policy")
}

// caller sends calls over HTTP, as publishers' pages and pilots' apps do.
type caller struct{ http *client.Client }

func newCaller() (*caller, error) {
	c, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithMaxConnsPerHost(1<<16),
		client.WithDialTimeout(time.Second),
	)
	if err != nil {
		return nil, errors.Wrap(err, "bench caller")
	}
	c.SetRetryIfFunc(func(*protocol.Request, *protocol.Response, error) bool { return false })
	return &caller{http: c}, nil
}

const callerTimeout = 30 * time.Second

func (c *caller) send(a *arrival, to *node, address string, intended time.Time) outcome {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	a.fill(req, address)
	out := outcome{arrival: a, entry: to, began: intended}
	out.err = c.http.Do(context.Background(), req, resp)
	out.whole = time.Since(intended)
	if out.err != nil {
		return out
	}
	out.status = resp.StatusCode()
	out.kind = string(resp.Header.Peek(callers.HeaderError))
	out.ran = string(resp.Header.Peek(callers.HeaderRan))
	if out.answered() && out.status == http.StatusOK {
		out.check(resp.Body())
	}
	return out
}

func (a *arrival) fill(req *protocol.Request, address string) {
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
	req.Header.Set(backend.HeaderWork, strconv.FormatInt(a.nominal.Microseconds(), 10))
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

// check compares the answer with what this call's answer must be.
func (o *outcome) check(body []byte) {
	a := o.arrival
	// A never-repeat call may get the answer of an earlier attempt of its own.
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

// load sends the arrivals at their times, whether or not answers come.
func (c *cluster) load(arrivals []arrival, direct bool) []outcome {
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
		to := entries[a.entry%uint64(len(entries))]
		address := to.vm.Callers
		if direct {
			address = c.anyBackend(a)
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

// anyBackend is a random backend server that may handle the call.
func (c *cluster) anyBackend(a *arrival) string {
	var out []*node
	for _, n := range c.nodes {
		if n.vm.Service == a.service.Name && allowedIn(a.kind, n.vm.DataCentre) {
			out = append(out, n)
		}
	}
	return out[a.entry%uint64(len(out))].address.Address(loopback.PortBackend)
}

// warm sends one short call of each kind through each entry, so that links and
// connections stand before the measurement.
func (c *cluster) warm() error {
	sender, err := newCaller()
	if err != nil {
		return err
	}
	for si := range c.deployment.Services {
		s := &c.deployment.Services[si]
		for ki := range s.Kinds {
			c.warmKind(sender, s, &s.Kinds[ki])
		}
	}
	return nil
}

// warmCalls is how many calls of a kind each entry sends before the load.
const warmCalls = 4

func (c *cluster) warmKind(sender *caller, s *Service, k *Kind) {
	var wait sync.WaitGroup
	for _, n := range c.entriesFor(&k.Placement) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := range warmCalls {
				id := "warm-" + n.vm.ID + "-" + s.Name + "-" + k.Placement.Name + "-" + strconv.Itoa(i)
				a := &arrival{id: id, service: s, kind: k, nominal: k.ServiceTime / 4}
				if k.Placement.NeverRepeat {
					a.key = id
				}
				sender.send(a, n, n.vm.Callers, time.Now())
			}
		}()
	}
	wait.Wait()
}
