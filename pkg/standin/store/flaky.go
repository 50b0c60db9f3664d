package store

import (
	"context"

	"github.com/rushramp/rushramp/pkg/platform"
)

// Mode is what becomes of one request to a Flaky table.
type Mode int

// The modes.
const (
	// Works answers.
	Works Mode = iota
	// Loses applies a write and loses its answer.
	Loses
	// Delays fails now, and applies the write when Arrive is called, or never.
	Delays
	// Fails has no effect.
	Fails
	// ModeCount counts the modes.
	ModeCount
)

// Flaky is a Store whose next requests go as a script says, for tests that play
// histories step by step. It is not safe for concurrent use.
type Flaky struct {
	*Store
	// Next are the modes of the next requests; those after it work.
	Next []Mode
	// Late are writes on their way.
	Late []func()
}

func (self *Flaky) take() Mode {
	if len(self.Next) == 0 {
		return Works
	}
	m := self.Next[0]
	self.Next = self.Next[1:]
	return m
}

// write plays one write that takes effect by apply.
func (self *Flaky) write(apply func() error) error {
	switch self.take() {
	case Loses:
		_ = apply()
		return ErrDown
	case Delays:
		self.Late = append(self.Late, func() { _ = apply() })
		return ErrDown
	case Fails:
		return ErrDown
	}
	return apply()
}

// Arrive applies one of the writes on their way.
func (self *Flaky) Arrive(i int) {
	apply := self.Late[i]
	self.Late = append(self.Late[:i], self.Late[i+1:]...)
	apply()
}

// Batch implements platform.Table.
func (self *Flaky) Batch(ctx context.Context, writes []platform.Write) (out []platform.Result, err error) {
	err = self.write(func() error {
		var applyErr error
		out, applyErr = self.Store.Batch(ctx, writes)
		return applyErr
	})
	if err != nil {
		return nil, err
	}
	return out, nil
}

// Transact implements platform.Table.
func (self *Flaky) Transact(ctx context.Context, writes []platform.Write) error {
	return self.write(func() error { return self.Store.Transact(ctx, writes) })
}

// Get implements platform.Table.
func (self *Flaky) Get(ctx context.Context, key string) (platform.Row, error) {
	if self.take() != Works {
		return platform.Row{}, ErrDown
	}
	return self.Store.Get(ctx, key)
}
