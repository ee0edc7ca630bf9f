package engineserver

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/logging"
	"github.com/granitebay/granitebay/internal/standin/enginemodel"
)

// logPart begins the lines of the log.
const logPart = "engine stand-in"

// process drives a model with the clock and hands its events to the mailboxes of its clients. It plays the part of the
// operating system too: when the model crashes, it cuts all clients off and starts a new incarnation after a while.
type process struct {
	settings     enginemodel.Settings
	random       *rand.Rand
	restartAfter time.Duration
	logger       *logrus.Entry

	mutex sync.Mutex
	// model is nil while the process is down.
	model     *enginemodel.Model
	timer     *time.Timer
	restart   *time.Timer
	closed    bool
	mailboxes map[string]*mailbox
	// streams names the client that gets the stream of a run, by request id.
	streams    map[string]string
	lastClient uint64
}

func newProcess(options Options) *process {
	p := &process{
		settings:     options.Model,
		random:       rand.New(rand.NewPCG(options.Seed, options.Seed)),
		restartAfter: options.RestartAfter,
		logger:       logging.Part(options.Logger, logPart).WithField("engine", options.Model.Name),
		mailboxes:    make(map[string]*mailbox),
		streams:      make(map[string]string),
	}
	p.timer = time.AfterFunc(time.Hour, p.tick)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.startModel()
	return p
}

// startModel starts a new incarnation. The mutex is held.
func (p *process) startModel() {
	if p.closed || p.model != nil {
		return
	}
	now := time.Now()
	p.settings.Start = now
	p.settings.Incarnation = max(p.settings.Incarnation+1, uint64(now.UnixMilli()))
	p.model = enginemodel.New(p.settings, p.random)
	p.logger.WithField("incarnation", p.settings.Incarnation).Info("Started.")
	p.schedule()
}

// tick runs what is due in the model.
func (p *process) tick() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.model == nil {
		return
	}
	p.model.Tick(time.Now())
	p.afterStep()
}

// afterStep hands out events, handles a crash and sets the timer. The mutex is held.
func (p *process) afterStep() {
	for _, event := range p.model.TakeEvents() {
		if box := p.mailboxes[event.Client]; box != nil {
			box.push(event.Event)
		}
	}
	if p.model.Crashed() {
		p.logger.Warn("Crashed during a change.")
		p.stopModel()
		p.restart = time.AfterFunc(p.restartAfter, p.start)
		return
	}
	p.schedule()
}

func (p *process) schedule() {
	if next := p.model.NextWake(); !next.IsZero() {
		p.timer.Reset(time.Until(next))
	}
}

// stopModel ends the present incarnation and cuts all clients off. The mutex is held.
func (p *process) stopModel() {
	p.model = nil
	p.timer.Stop()
	for _, box := range p.mailboxes {
		box.end(endCrashed)
	}
	clear(p.mailboxes)
	clear(p.streams)
}

func (p *process) start() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.startModel()
}

// crash ends the engine now, if it is up, and starts it again after a while.
func (p *process) crash(restartAfter time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.model == nil {
		return
	}
	p.logger.Warn("Crashed on demand.")
	p.model.Kill(time.Now())
	p.stopModel()
	p.restart = time.AfterFunc(restartAfter, p.start)
}

func (p *process) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	if p.restart != nil {
		p.restart.Stop()
	}
	p.stopModel()
}

// incarnation returns the incarnation of the engine; zero while it is down.
func (p *process) incarnation() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.model == nil {
		return 0
	}
	return p.model.Incarnation()
}

// runs returns the number of runs that have not ended.
func (p *process) runs() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.model == nil {
		return 0
	}
	running, waiting := p.model.Runs()
	return running + waiting
}

// commandOf makes a command when the incarnation and the generation of the engine are known.
type commandOf func(incarnation, generation uint64) engine.Command

// fixed is a command that does not depend on the state of the engine.
func fixed(command engine.Command) commandOf {
	return func(uint64, uint64) engine.Command { return command }
}

// open hands a command to the model and returns the mailbox that gets the answers. It returns nil while the engine is
// down. streamOf is the request whose stream the mailbox takes over; empty if none.
func (p *process) open(command commandOf, streamOf string) *mailbox {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.model == nil {
		return nil
	}
	p.lastClient++
	box := newMailbox("client-"+strconv.FormatUint(p.lastClient, 10), streamOf)
	p.mailboxes[box.client] = box
	box.incarnation = p.model.Incarnation()
	p.model.Handle(time.Now(), box.client, command(box.incarnation, p.model.Fence().Generation))
	p.afterStep()
	if streamOf != "" && !box.refused() {
		p.supersede(streamOf, box)
	}
	return box
}

// supersede ends the stream that another client has of a request. The mutex is held.
func (p *process) supersede(requestID string, box *mailbox) {
	if p.mailboxes[box.client] != box {
		return
	}
	if other := p.mailboxes[p.streams[requestID]]; other != nil {
		other.end(endSuperseded)
		delete(p.mailboxes, other.client)
	}
	p.streams[requestID] = box.client
}

// release forgets a mailbox. The run whose stream it got goes on.
func (p *process) release(box *mailbox, finished bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.mailboxes[box.client] != box {
		return
	}
	delete(p.mailboxes, box.client)
	if p.streams[box.streamOf] == box.client {
		delete(p.streams, box.streamOf)
	}
	if !finished {
		p.model.Disconnect(time.Now(), box.client)
		p.afterStep()
	}
}
