package main

import (
	"encoding/json"
	"fmt"
	"syscall"
	"time"
)

func init() { cases["recover"] = recoverFromLoss }

// witnesses returns the agents that the system has chosen as witnesses.
func (d *deployment) witnesses() map[string]bool {
	raw, _ := d.store.get("pomeloferry/witnesses")
	var list struct{ Current []struct{ Agent string } }
	_ = json.Unmarshal(raw, &list)
	out := map[string]bool{}
	for _, w := range list.Current {
		out[w.Agent] = true
	}
	return out
}

// recoverFromLoss has some side machines leave for good, and others come in their place, just
// before all processes are killed. Without the trouble, none leaves.
func recoverFromLoss(rec *recorder, trouble bool) (verdict, error) {
	const (
		lost = 5
		// storeDown is how long the store is down, from storeBefore before the loss.
		storeDown   = 6 * time.Second
		storeBefore = 900 * time.Millisecond
		// comeAfter is when the machines that replace the lost ones come.
		comeAfter = time.Second
		// restart is how long the processes are down after the final fault.
		restart   = 880 * time.Millisecond
		recovery  = 12 * time.Second
		judgedFor = 2500 * time.Millisecond
	)
	d, err := deploy(rec, 3, 11)
	if err != nil {
		return verdict{}, err
	}
	defer d.close()
	clients := startTraffic(rec, d.entries, 20*time.Millisecond)
	time.Sleep(3 * time.Second)
	before := time.Now()
	rec.note("the store is down")
	d.store.setDown(true)
	time.AfterFunc(storeDown, func() {
		d.store.setDown(false)
		rec.note("the store is up")
	})
	time.Sleep(storeBefore)
	var kept, gone []*side
	isWitness := d.witnesses()
	for _, s := range d.sides {
		if trouble && isWitness[s.agent.name] && len(gone) < lost {
			gone = append(gone, s)
			continue
		}
		kept = append(kept, s)
	}
	rec.note("%d of the %d witnesses leave for good", len(gone), len(isWitness))
	for _, s := range gone {
		s.agent.powerOff()
		s.worker.stop()
	}
	for _, p := range d.entries {
		p.signal(syscall.SIGKILL)
	}
	for _, s := range kept {
		s.agent.signal(syscall.SIGKILL)
	}
	d.sides = kept
	time.Sleep(comeAfter)
	for _, s := range gone {
		if _, err := d.addSide(s.agent.zone); err != nil {
			return verdict{}, err
		}
	}
	d.sides = append(d.sides, gone...)
	back := time.Now()
	rec.note("all machines are back")
	time.Sleep(recovery + judgedFor)
	list := clients.end()
	usual, servedUsual := count(list, "", rec.began, before)
	all, served := count(list, "", back.Add(recovery), back.Add(recovery+judgedFor))
	return verdict{
		broken: 4*servedUsual >= usual && 4*served < all,
		text: fmt.Sprintf("RECOVER: %d of %d requests were served before the fault, and %d of %d that were sent later than %v after the machines were back",
			servedUsual, usual, served, all, recovery),
	}, nil
}
