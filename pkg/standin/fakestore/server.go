package fakestore

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/httpserver"
	"github.com/rushramp/rushramp/pkg/store"
)

// The control paths, for tests and scenarios. Request bodies are JSON.
const (
	pathFaults = "/control/faults"
	pathSetVMs = "/control/vms"
	pathCounts = "/control/counts"
)

// requestCounts is the answer body of pathCounts.
type requestCounts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// Serve serves the stand-in over HTTP on address until stop is called. It fails
// when it cannot listen there.
func Serve(s *Store, address string) (stop func(), err error) {
	return httpserver.Start(address, nil, func(h *server.Hertz) {
		h.POST(store.PathGet, handle(s.serveGet))
		h.POST(store.PathScan, handle(s.serveScan))
		h.POST(store.PathBatch, handle(s.serveBatch))
		h.POST(store.PathTransact, handle(s.serveTransact))
		h.POST(store.PathPut, handle(s.servePut))
		h.POST(store.PathObject, handle(s.serveObject))
		h.POST(store.PathVMs, handle(s.serveVMs))
		h.POST(pathFaults, control(s.SetFaults))
		h.POST(pathSetVMs, control(s.SetVMs))
		h.GET(pathCounts, func(_ context.Context, c *app.RequestContext) {
			c.JSON(http.StatusOK, requestCounts{Reads: s.Reads(), Writes: s.Writes()})
		})
	})
}

func (s *Store) serveGet(ctx context.Context, in store.GetRequest) (store.Response, error) {
	row, err := s.Get(ctx, in.Key)
	return store.Response{Rows: []store.Row{row}}, err
}

func (s *Store) serveScan(ctx context.Context, in store.ScanRequest) (store.Response, error) {
	rows, err := s.Scan(ctx, in.Prefix, in.After, in.Limit)
	return store.Response{Rows: rows}, err
}

func (s *Store) serveBatch(ctx context.Context, in store.WriteRequest) (store.Response, error) {
	results, err := s.Batch(ctx, in.Writes)
	return store.Response{Results: results}, err
}

func (s *Store) serveTransact(ctx context.Context, in store.WriteRequest) (store.Response, error) {
	return store.Response{}, s.Transact(ctx, in.Writes)
}

func (s *Store) servePut(ctx context.Context, in store.ObjectRequest) (store.Response, error) {
	return store.Response{}, s.PutObject(ctx, in.Name, in.Data)
}

func (s *Store) serveObject(ctx context.Context, in store.ObjectRequest) (store.Response, error) {
	data, err := s.Object(ctx, in.Name)
	return store.Response{Data: data}, err
}

func (s *Store) serveVMs(ctx context.Context, in store.VMsRequest) (store.Response, error) {
	vms, err := s.VMs(ctx, in.DataCentre)
	return store.Response{VMs: vms}, err
}

func handle[In any](serve func(context.Context, In) (store.Response, error)) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		var in In
		if err := store.Decode(c.Request.Body(), &in); err != nil {
			c.String(http.StatusBadRequest, err.Error())
			return
		}
		out, err := serve(ctx, in)
		if err != nil {
			c.String(status(err), err.Error())
			return
		}
		body, err := store.Encode(out)
		if err != nil {
			c.String(http.StatusInternalServerError, err.Error())
			return
		}
		c.Data(http.StatusOK, "application/cbor", body)
	}
}

func control[In any](set func(In)) app.HandlerFunc {
	return func(_ context.Context, c *app.RequestContext) {
		var in In
		if err := json.Unmarshal(c.Request.Body(), &in); err != nil {
			c.String(http.StatusBadRequest, err.Error())
			return
		}
		set(in)
		c.String(http.StatusOK, "done\n")
	}
}

func status(err error) int {
	switch {
	case errors.Is(err, store.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, store.ErrConflict):
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}
