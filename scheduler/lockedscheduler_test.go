package scheduler_test

import (
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

// onlyWitness is the witness that lockedScheduler has unless a test sets others.
const onlyWitness = "witness"

// lockedScheduler is a scheduler with one witness, which has no worker, stays in contact
// and grants all locks at once, so that most tests need not play locks.
type lockedScheduler struct {
	*scheduler.Scheduler
	// effects are those that have been taken from the scheduler, but not from here.
	effects []scheduler.Effect
}

func newLockedScheduler(clock clockwork.Clock) *lockedScheduler {
	s := &lockedScheduler{Scheduler: scheduler.NewScheduler(clock, "entry", "dc-0")}
	s.SetWitnesses(messenger.WitnessList{Version: 1, Current: []messenger.Witness{{Agent: onlyWitness, Group: "dc-0"}}})
	s.LinkOpened(onlyWitness)
	s.HandleReport(messenger.Report{Agent: onlyWitness, DataCentre: "dc-0", Incarnation: 1, Timestamp: time.Hour, Echo: time.Hour})
	s.TakeEffects()
	return s
}

// Submit submits a job and has its lock granted.
func (s *lockedScheduler) Submit(ticket uint64, j scheduler.Job) {
	s.Scheduler.Submit(ticket, j)
	s.grantLocks()
}

// Tick lets time pass and has locks granted.
func (s *lockedScheduler) Tick() {
	s.Scheduler.Tick()
	s.grantLocks()
}

// TakeEffects returns the effects, without the messages to the only witness.
func (s *lockedScheduler) TakeEffects() []scheduler.Effect {
	s.grantLocks()
	out := s.effects
	s.effects = nil
	return out
}

// grantLocks answers the requests to the only witness until there are no more.
func (s *lockedScheduler) grantLocks() {
	for requested := true; requested; {
		requested = false
		for _, e := range s.Scheduler.TakeEffects() {
			send, ok := e.(scheduler.Send)
			if !ok || send.Agent != onlyWitness {
				s.effects = append(s.effects, e)
				continue
			}
			if m, ok := send.Message.(messenger.LockJobs); ok && len(m.Jobs) > 0 {
				requested = true
				s.HandleLockReply(onlyWitness, messenger.LockReply{Number: m.Number, Locked: m.Jobs})
			}
		}
	}
}
