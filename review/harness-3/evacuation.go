package main

import (
	"fmt"
	"time"
)

func init() { cases["evacuation"] = evacuation }

// evacuation evacuates a zone while the only edge machine that is left is cut off from the
// store.
func evacuation(rec *recorder, trouble bool) (verdict, error) {
	const (
		zone         = "ost-graz"
		contact      = 3 * time.Second
		cutTime      = 12 * time.Second
		evacuateTime = 5 * time.Second
		// maxStretch is added for an unstable core.
		maxStretch = 5 * time.Second
	)
	d, err := deploy(rec, 3, 6)
	if err != nil {
		return verdict{}, err
	}
	defer d.close()
	last := d.entries[1] // In the zone that is evacuated.
	clients := startTraffic(rec, []*process{last}, 50*time.Millisecond)
	if trouble {
		d.entries[0].powerOff()
		d.entries[2].powerOff()
	}
	time.Sleep(contact + time.Second)
	if trouble {
		rec.note("%s is cut off from the store", last.name)
		d.store.setCut(last.name, true)
	}
	time.Sleep(200 * time.Millisecond)
	d.store.put("op/evacuate/"+zone, struct{}{})
	acknowledged := time.Now()
	rec.note("operator: the evacuation of %s is acknowledged", zone)
	time.Sleep(cutTime - 200*time.Millisecond)
	d.store.setCut(last.name, false)
	rec.note("%s reaches the store", last.name)
	time.Sleep(3 * time.Second)
	list := clients.end()
	late, later := 0, 0
	for _, r := range rec.snapshot() {
		after := r.started.Sub(acknowledged)
		if r.zone != zone || after <= evacuateTime {
			continue
		}
		late++
		if after > evacuateTime+maxStretch {
			later++
		}
	}
	all, served := count(list, "", rec.began, time.Now())
	return verdict{
		broken: later > 0,
		text: fmt.Sprintf("EVAC: %d tasks were started in %s later than %v after the acknowledgement, %d of them later than %v; %d of %d jobs were served",
			late, zone, evacuateTime, later, evacuateTime+maxStretch, served, all),
	}, nil
}
