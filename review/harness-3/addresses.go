package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["addresses"] = addresses }

// addresses has some side machines leave for good just before all processes are killed, and
// others come in their place: at addresses that the lost ones had, or, without the trouble, at
// addresses that no machine had.
func addresses(rec *recorder, trouble bool) (verdict, error) {
	const (
		lost = 4
		// addressReuse is how long an address is not used again, and comeAfter when the
		// machines come that replace the lost ones.
		addressReuse = 2 * time.Second
		comeAfter    = addressReuse + 500*time.Millisecond
		recovery     = 12 * time.Second
		judgedFor    = 18 * time.Second
	)
	d, err := deploy(rec, 3, 6)
	if err != nil {
		return verdict{}, err
	}
	defer d.close()
	clients := startTraffic(rec, d.entries, 20*time.Millisecond)
	time.Sleep(3 * time.Second)
	before := time.Now()
	gone, kept := d.sides[:lost], d.sides[lost:]
	rec.note("%d side machines leave for good, and all processes are killed", lost)
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
	time.Sleep(comeAfter)
	for i, s := range gone {
		if trouble {
			d.reused = gone[(i+1)%lost].agent.ip
		}
		came, err := d.addSide(s.agent.zone)
		if err != nil {
			return verdict{}, err
		}
		rec.note("%s comes at %s, in the place of %s", came.agent.name, came.agent.ip, s.agent.name)
	}
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
