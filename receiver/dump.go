package receiver

import (
	"fmt"
	"io"
	"reflect"
	"strings"
	"time"

	"github.com/pomeloferry/pomeloferry/confirmer"
	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/dispatcher"
)

// Dump is the state of an entry for operators.
type Dump struct {
	Entry         courier.EntryInfo
	DataCentre    string
	Incarnation   string
	Leaving       bool
	BundleVersion uint64
	// ConfirmedAge is the time since the bundle was last confirmed as the newest
	// accepted one.
	ConfirmedAge time.Duration
	Voters       confirmer.Voters
	View         []string
	Peers        []string
	// Requests is the number of submissions in flight.
	Requests int64
	// Owner is the state of the entry's dispatcher.
	Owner dispatcher.Dump
}

func (c *entryActor) dump() Dump {
	return Dump{
		Entry:         c.self,
		DataCentre:    c.cfg.DataCentre,
		Incarnation:   c.incarnation,
		Leaving:       c.tracker.Leaving(),
		BundleVersion: c.confirmer.Bundle().Version,
		ConfirmedAge:  c.deps.Clock.Since(c.confirmer.ConfirmedAt()),
		Voters:        c.confirmer.Voters(),
		View:          c.tracker.View(),
		Peers:         c.tracker.Peers(),
		Owner:         c.dispatcher.Dump(),
	}
}

// writeCounts writes the dispatcher's counts in the format of /metrics. The totals are
// labelled with the bundle version in force.
func writeCounts(w io.Writer, d Dump) {
	v := reflect.ValueOf(d.Owner.Counts)
	for i := range v.NumField() {
		name := strings.ToLower(v.Type().Field(i).Name)
		fmt.Fprintf(w, "pomeloferry_%s_total{bundle_version=\"%d\"} %d\n", name, d.BundleVersion, v.Field(i).Uint())
	}
	fmt.Fprintf(w, "pomeloferry_waiting_tasks %d\n", d.Owner.WaitingTasks)
	fmt.Fprintf(w, "pomeloferry_agents %d\n", len(d.Owner.Agents))
}
