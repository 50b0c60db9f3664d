package store

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/httpserver"
	"github.com/rushramp/rushramp/pkg/platform"
)

// The control paths, for tests and scenarios. Bodies are JSON.
const (
	pathFaults = "/control/faults"
	pathSetVMs = "/control/vms"
	pathCounts = "/control/counts"
)

// counts is the answer of pathCounts.
type counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// Serve serves the stand-in on address until the returned function is called.
func Serve(self *Store, address string) (stop func(), err error) {
	return httpserver.Start(address, func(h *server.Hertz) {
		h.POST(platform.PathGet, handle(self.serveGet))
		h.POST(platform.PathScan, handle(self.serveScan))
		h.POST(platform.PathBatch, handle(self.serveBatch))
		h.POST(platform.PathTransact, handle(self.serveTransact))
		h.POST(platform.PathPut, handle(self.servePut))
		h.POST(platform.PathObject, handle(self.serveObject))
		h.POST(platform.PathVMs, handle(self.serveVMs))
		h.POST(pathFaults, control(self.SetFaults))
		h.POST(pathSetVMs, control(self.SetVMs))
		h.GET(pathCounts, func(_ context.Context, c *app.RequestContext) {
			c.JSON(http.StatusOK, counts{Reads: self.Reads(), Writes: self.Writes()})
		})
	})
}

func (self *Store) serveGet(ctx context.Context, in platform.GetRequest) (platform.Response, error) {
	row, err := self.Get(ctx, in.Key)
	return platform.Response{Rows: []platform.Row{row}}, err
}

func (self *Store) serveScan(ctx context.Context, in platform.ScanRequest) (platform.Response, error) {
	rows, err := self.Scan(ctx, in.Prefix, in.After, in.Limit)
	return platform.Response{Rows: rows}, err
}

func (self *Store) serveBatch(ctx context.Context, in platform.WriteRequest) (platform.Response, error) {
	results, err := self.Batch(ctx, in.Writes)
	return platform.Response{Results: results}, err
}

func (self *Store) serveTransact(ctx context.Context, in platform.WriteRequest) (platform.Response, error) {
	return platform.Response{}, self.Transact(ctx, in.Writes)
}

func (self *Store) servePut(ctx context.Context, in platform.ObjectRequest) (platform.Response, error) {
	return platform.Response{}, self.PutObject(ctx, in.Name, in.Data)
}

func (self *Store) serveObject(ctx context.Context, in platform.ObjectRequest) (platform.Response, error) {
	data, err := self.Object(ctx, in.Name)
	return platform.Response{Data: data}, err
}

func (self *Store) serveVMs(ctx context.Context, in platform.VMsRequest) (platform.Response, error) {
	vms, err := self.VMs(ctx, in.DataCentre)
	return platform.Response{VMs: vms}, err
}

func handle[In any](serve func(context.Context, In) (platform.Response, error)) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		var in In
		if err := platform.Decode(c.Request.Body(), &in); err != nil {
			c.String(http.StatusBadRequest, err.Error())
			return
		}
		out, err := serve(ctx, in)
		if err != nil {
			c.String(status(err), err.Error())
			return
		}
		body, err := platform.Encode(out)
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
	case errors.Is(err, platform.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, platform.ErrConflict):
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}
