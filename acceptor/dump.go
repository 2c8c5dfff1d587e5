package acceptor

import "github.com/pomeloferry/pomeloferry/scheduler"

// entryDump is the state of an entry in a form for operators.
type entryDump struct {
	scheduler.Dump
	// EvacuationsRevision is the store's revision as of which Evacuated is known, and
	// EvacuationsAgeMS the time since that was certainly right, in milliseconds; zero if it
	// never was.
	EvacuationsRevision int64
	EvacuationsAgeMS    int64
}

func (c *entryActor) dump() entryDump {
	known := c.acceptor.evacuations().Message(c.acceptor.deps.Clock.Now())
	return entryDump{Dump: c.scheduler.Dump(), EvacuationsRevision: known.Revision, EvacuationsAgeMS: known.Age.Milliseconds()}
}
