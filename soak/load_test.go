package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// paceInterval is how long the pace of an engine's work lasts.
	paceInterval = 150 * time.Millisecond
	// noLoadOneIn and badLoadOneIn are the reciprocals of the shares of answers without a
	// load header and with one that can't be read as a whole.
	noLoadOneIn  = 30
	badLoadOneIn = 20
	// copyRetention is how long an engine holds the copy of a run that has ended, as the
	// configuration says (handle_s).
	copyRetention = 5 * time.Second
)

// usualPercent is the time that work takes at the engines by number, in percent.
var usualPercent = []int{55, 120, 300}

// badLoads are load headers of which the fourth figure, or none, can be read.
var badLoads = []string{
	"1,0,16,", "1,0,16,fast", "1,0,16,0", "1,0,16,-120", "1,0,16,NaN", "1,0,16,10001", "1,0,16,1e300",
	"", "1,0", "1,0,16,120,120", "a,b,c,d", "-1,0,16,120", "1;0;16;120", "99999999999999999999,0,16,120",
}

// timePercent returns the time that work takes at the engine now, in percent of the usual
// time. It differs by engine and changes several times a second.
func (e *engine) timePercent() int {
	rng := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()/int64(paceInterval)), uint64(e.number)))
	return usualPercent[e.number%len(usualPercent)] * (60 + rng.IntN(81)) / 100
}

// setServerLoad sets the load header of an answer of an engine.
func (e *engine) setServerLoad(h http.Header) {
	if e.pool != modelPool {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	load := fmt.Sprintf("%d,0,%d,%d", len(e.active), slots, e.timePercent())
	switch {
	case e.rng.IntN(noLoadOneIn) == 0:
		return
	case e.rng.IntN(badLoadOneIn) == 0:
		load = badLoads[e.rng.IntN(len(badLoads))]
		e.count("load headers that can't be read")
	}
	h.Set("X-Boragewick-Server-Load", load)
}

// heldCopy is the copy of a run at another engine.
type heldCopy struct{ holder, request string }

// copiesHeld returns how many copies of runs of other engines the engine holds.
func (e *engine) copiesHeld() (n int) {
	e.copies.Range(func(key, _ any) bool {
		if key.(heldCopy).holder == e.advertised.String() {
			n++
		}
		return true
	})
	return n
}

// dropCopy drops the copy of a run that has ended, some time after.
func (e *engine) dropCopy(request string, j *job) {
	if j.backupCopy == nil {
		return
	}
	time.AfterFunc(copyRetention, func() {
		if e.handles.CompareAndDelete(j.backup+"/"+request, j.backupCopy) {
			e.copies.Delete(heldCopy{j.backup, request})
		}
	})
}
