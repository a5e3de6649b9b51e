package soak

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// copyTime is how long a move takes unless it is slow.
	copyTime = 5 * time.Millisecond
	// crowdedInterval is how long an engine has, or hasn't, room for copies, and crowdedShare the
	// share of the time that it has none.
	crowdedInterval = time.Second
	crowdedShare    = 0.2
	// fullLinkShare is the share of loads after which an engine sends no copies until the next one.
	// It sends them after that.
	fullLinkShare = 0.9
)

// moveTrouble is what goes wrong with a call to move a run.
type moveTrouble int

const (
	noTrouble moveTrouble = iota
	slowMove
	lostMove // the run is moved, and the answer lost
	fullMove // the run is stopped, and the target has no room any more
)

// moveTroubleOf has one of the troubles for each 20 calls to move a run, while weights change.
var moveTroubleOf = [20]moveTrouble{slowMove, slowMove, slowMove, lostMove, lostMove, fullMove}

// kvCopy is the KV cache of a run, kept for the run to go on from.
type kvCopy struct {
	request string
	source  *engine

	mu sync.Mutex
	// weights are the versions under which its parts were made.
	weights map[int]bool
	// epochs are those of the engines that hold it.
	epochs map[*engine]int
}

// handle returns the name of the copy of a run that was moved, and of its backup at an engine.
func (e *engine) handle(request string) string { return e.advertised.String() + "/h" + request }
func (e *engine) backup(request string) string { return e.advertised.String() + "/" + request }

// currentEpoch returns the epoch of what the engine keeps, which is lost when it starts again and
// when it loads weights.
func (e *engine) currentEpoch() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.epoch
}

// loseMemory makes the engine lose the copies that it keeps. The caller holds mu.
func (e *engine) loseMemory() {
	e.epoch++
	e.stopped, e.arrived = map[string]*job{}, map[string]bool{}
	e.fullLink = !e.fullLink && e.rng.Float64() < fullLinkShare
}

// beginBackup keeps a copy of the run at the engine with the address, if that runs.
func (e *engine) beginBackup(request string, j *job, addr string) {
	holder := e.engineAt(addr)
	if holder == nil || holder == e {
		return
	}
	holder.mu.Lock()
	epoch, runs := holder.epoch, holder.server != nil
	holder.mu.Unlock()
	if !runs {
		return
	}
	e.count("backups")
	j.backupCopy = &kvCopy{request: request, source: e, weights: map[int]bool{}, epochs: map[*engine]int{holder: epoch}}
	e.handles.Store(holder.backup(request), j.backupCopy)
	e.copies.Store(heldCopy{addr, request}, true)
}

// grow adds to the memory of a run, and to its backup, what is made with the weights that the
// engine has now, and returns their version.
func (e *engine) grow(j *job) (weights int) {
	e.mu.Lock()
	weights = e.version
	crashed := e.server == nil || e.boot != j.boot
	if !crashed {
		j.memory[weights] = true
	}
	e.mu.Unlock()
	if crashed || j.backupCopy == nil {
		return weights
	}
	j.backupCopy.mu.Lock()
	defer j.backupCopy.mu.Unlock()
	j.backupCopy.weights[weights] = true
	return weights
}

// useCopy makes the run go on from the copy, and reports whether the engine has it. The caller
// holds mu.
func (e *engine) useCopy(sent *request, j *job, c *kvCopy) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch, ok := c.epochs[e]; !ok || epoch != e.epoch {
		return false
	}
	delete(e.arrived, sent.id)
	e.count("runs that go on from a copy")
	if _, ok := c.epochs[c.source]; !ok {
		e.count("runs that go on from a backup")
	}
	for weights := range c.weights {
		j.memory[weights] = true
		switch {
		case weights == e.version:
		case c.source == e: // as it may at its own engine after a load under it
			e.count("runs that go on at their engine with other weights")
		default:
			e.addViolation("STALE", "%s goes on at %s with weights %d from a copy of %s that was made with weights %d",
				sent.id, e.id, e.version, c.source.id, weights)
		}
	}
	return true
}

// takeRoom takes a slot for the copy of a run, and reports whether there was one.
func (e *engine) takeRoom(request string) bool {
	crowded := e.weightsChange() && rand.New(rand.NewPCG(uint64(time.Now().UnixNano()/int64(crowdedInterval)), uint64(e.number))).Float64() < crowdedShare
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil || !e.arrived[request] && (crowded || len(e.active)+len(e.arrived) >= slots) {
		return false
	}
	e.arrived[request] = true
	return true
}

// freeRoom frees the slot that the copy of a run takes, unless the engine has lost it since epoch.
func (e *engine) freeRoom(request string, epoch int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.epoch == epoch {
		delete(e.arrived, request)
	}
}

// serveMove copies the KV cache of a run to another engine, and stops the run if this is
// the last call for it.
func (e *engine) serveMove(w http.ResponseWriter, r *http.Request) {
	var m struct {
		ID, Target string
		Last       bool
	}
	_ = json.NewDecoder(r.Body).Decode(&m)
	e.mu.Lock()
	j := e.active[m.ID]
	stopped := j == nil
	if stopped {
		j = e.stopped[m.ID]
	}
	if j == nil || j.moving {
		e.mu.Unlock()
		w.WriteHeader(map[bool]int{true: http.StatusNotFound, false: http.StatusConflict}[j == nil])
		return
	}
	j.moving = true
	e.count("calls to move a run")
	trouble := noTrouble
	if e.weightsChange() {
		trouble = moveTroubleOf[e.rng.IntN(len(moveTroubleOf))]
	}
	delay := copyTime
	if trouble == slowMove {
		delay = randomDuration(e.rng, 100*time.Millisecond, time.Second)
	}
	fullLink := e.fullLink && e.weightsChange()
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		j.moving = false
	}()
	to := e.engineAt(m.Target)
	room := to != nil && !fullLink && to.takeRoom(m.ID)
	if !room && !stopped {
		e.count("moves without room")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if m.Last && !stopped {
		e.stop(m.ID, j)
	}
	e.mu.Lock()
	c := &kvCopy{request: m.ID, source: e, weights: maps.Clone(j.memory), epochs: map[*engine]int{e: e.epoch}}
	made := j.produced
	e.mu.Unlock()
	if room {
		epoch := to.currentEpoch()
		if trouble == fullMove && m.Last {
			room = false
			to.freeRoom(m.ID, epoch)
		} else {
			c.epochs[to] = epoch
			time.AfterFunc(copyRetention*3/2, func() { to.freeRoom(m.ID, epoch) })
		}
	}
	if len(c.weights) > 1 {
		e.count("copies made with several weights")
	}
	time.Sleep(delay)
	e.handles.Store(e.handle(m.ID), c)
	time.AfterFunc(copyRetention*3/2, func() { e.handles.CompareAndDelete(e.handle(m.ID), c) })
	switch {
	case trouble == lostMove:
		e.count("moves with a lost answer")
		panic(http.ErrAbortHandler)
	case !room:
		e.count("moves without room after the run was stopped")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": "h" + m.ID, "made": made})
}

// stop stops a run and keeps its memory for a while.
func (e *engine) stop(request string, j *job) {
	e.mu.Lock()
	e.stopped[request] = j
	e.mu.Unlock()
	time.AfterFunc(copyRetention, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.stopped[request] == j {
			delete(e.stopped, request)
		}
	})
	j.abort()
	<-j.ended
}
