package events

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

func TestEachEventHasACatalogueEntry(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "catalogue.go", nil, 0)
	must.NoError(t, err)
	declared := map[ID]string{}
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		if ident, isIdent := spec.Type.(*ast.Ident); !isIdent || ident.Name != "ID" {
			return true
		}
		number, convErr := strconv.Atoi(spec.Values[0].(*ast.BasicLit).Value)
		must.NoError(t, convErr)
		declared[ID(number)] = spec.Names[0].Name
		return true
	})
	for _, entry := range Catalogue() {
		test.MapContainsKey(t, declared, entry.ID)
		delete(declared, entry.ID)
		test.NotEq(t, "", entry.Cause)
		test.NotEq(t, "", entry.Advice)
	}
	test.MapEmpty(t, declared, test.Sprint("events without a catalogue entry"))
}

// syncBuffer is a buffer that tests read while the log writes to it.
type syncBuffer struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.String()
}

// TestLinesOverTheBudgetAreDroppedAndCounted: the written lines and the dropped lines that
// the log reports add up to all lines.
func TestLinesOverTheBudgetAreDroppedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out syncBuffer
		log := NewBoundedLog(&out, Info, Bounds{LinesPerSecond: 20, BytesPerSecond: 1 << 20, BufferBytes: 1 << 20}, F("vm", "a"))
		const sent = 1000
		for range sent {
			log.Event(LinkDown, F("peer", "b"))
		}
		time.Sleep(2 * reportInterval)
		log.Close(time.Second)
		written := strings.Count(out.String(), "event=202 ")
		test.Eq(t, 20*burstSeconds, written)
		test.Eq(t, int64(sent-written), log.Dropped())
		test.StrContains(t, out.String(), "event=108")
		test.StrContains(t, out.String(), fmt.Sprintf("lines=%d by_event=202:%d", sent-written, sent-written))
		test.StrContains(t, out.String(), "vm=a")
		test.Eq(t, 1, strings.Count(out.String(), "event=108"), test.Sprint("the dropped lines are reported once"))
	})
}

// TestRoutineLinesAreDroppedFirst: failures are logged even if routine lines exceed the
// budget.
func TestRoutineLinesAreDroppedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out syncBuffer
		log := NewBoundedLog(&out, Info, Bounds{LinesPerSecond: 20, BytesPerSecond: 1 << 20, BufferBytes: 1 << 20})
		for range 1000 {
			log.Event(RequestAnswered)
		}
		for range 5 {
			test.True(t, log.Enabled(RequestFailed))
			log.Event(RequestFailed)
		}
		test.False(t, log.Enabled(RequestAnswered))
		log.Close(time.Second)
		test.Eq(t, 5, strings.Count(out.String(), "event=504"))
		test.StrContains(t, out.String(), "event=108")
	})
}

// blockedWriter is an output whose writes block until unblock is closed.
type blockedWriter struct{ unblock chan struct{} }

func (s *blockedWriter) Write([]byte) (int, error) {
	<-s.unblock
	return 0, io.ErrClosedPipe
}

// TestABlockedOutputDoesNotBlockTheLog: lines fill the buffer, and those that do not fit
// are dropped and counted.
func TestABlockedOutputDoesNotBlockTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := &blockedWriter{unblock: make(chan struct{})}
		const size = 8 << 10
		log := NewBoundedLog(output, Info, Bounds{LinesPerSecond: 1 << 20, BytesPerSecond: 1 << 30, BufferBytes: size})
		const sent = 2000
		for range sent {
			log.Event(RequestAnswered, F("request", "a"))
			log.Event(RequestFailed, F("request", "b"))
		}
		log.buffer.mu.Lock()
		waiting := len(log.buffer.waiting)
		log.buffer.mu.Unlock()
		test.Between(t, 1, waiting, size)
		test.Between(t, 2*sent-200, log.Dropped(), 2*sent)
		began := time.Now()
		log.Close(time.Second)
		test.Eq(t, time.Second, time.Since(began), test.Sprint("Close waits for its timeout, not for the output"))
		close(output.unblock)
	})
}

func TestLevelsBelowTheMinimumAreNotLogged(t *testing.T) {
	var out bytes.Buffer
	log := NewLog(&out, Warn)
	log.Event(LinkDown)
	test.Eq(t, "", out.String())
	log.Event(PlatformDown)
	test.StrContains(t, out.String(), "event=701")
}

// TestBytesAreChargedByTheLengthOfEachLine: lines of any length stay within the bound on
// bytes, plus the burst and one line.
func TestBytesAreChargedByTheLengthOfEachLine(t *testing.T) {
	for _, length := range []int{10, 700, 3000} {
		synctest.Test(t, func(t *testing.T) {
			var out syncBuffer
			const perSecond, seconds = 8000, 20
			log := NewBoundedLog(&out, Info, Bounds{LinesPerSecond: 1 << 20, BytesPerSecond: perSecond, BufferBytes: 1 << 20})
			text := strings.Repeat("x", length)
			longest := 0
			for range 100 * seconds {
				log.Event(RequestFailed, F("cause", text))
				time.Sleep(10 * time.Millisecond)
			}
			log.Close(time.Second)
			written := 0
			for line := range strings.Lines(out.String()) {
				if strings.Contains(line, "event=504 ") {
					written += len(line)
					longest = max(longest, len(line))
				}
			}
			bound := perSecond * (seconds + burstSeconds)
			test.Between(t, bound*9/10, written, bound+longest, test.Sprint("lines of ", longest))
		})
	}
}
