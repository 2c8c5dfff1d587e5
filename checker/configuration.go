package checker

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/pomeloferry/pomeloferry/platform"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

// checkConfiguration judges the operators' configuration, and against the
// settings of a machine if they are given.
func (d document) checkConfiguration(deployment *File) ([]Finding, error) {
	read := decode(d, platform.ParseConfiguration)
	out := read.findings
	if hasFault(out) {
		return out, nil
	}
	out = append(out, d.coveredQueues(read.value.Queues)...)
	out = append(out, d.queueLimits(read.value.Queues)...)
	if deployment == nil {
		return out, nil
	}
	s, err := platform.ParseSettings(string(deployment.Raw))
	if err != nil {
		return nil, &Error{Op: "read settings", Kind: Unreadable, File: deployment.Name, Err: err}
	}
	return append(out, d.resendRules(read.value.Queues, s.MinResendDelay)...), nil
}

// place is where a queue takes requests.
type place struct{ host, prefix string }

// coveredQueues finds queues that no request can reach. Of two queues with the
// longest prefix, the one that is listed first gets the request.
func (d document) coveredQueues(queues []scheduler.Queue) []Finding {
	first := make(map[place]int)
	for i, q := range slices.Backward(queues) {
		first[place{q.Host, q.Prefix}] = i
	}
	var out []Finding
	for i, q := range queues {
		j, covered := coveredBy(first, i, q)
		switch {
		case covered:
			out = append(out, d.finding(Unmatched, platform.QueueKey(i, platform.PrefixKey),
				fmt.Sprintf("%s%s is taken by %s[%d], %q", q.Host, q.Prefix, platform.QueuesKey, j, queues[j].Name)))
		case q.Host == "":
			out = append(out, d.finding(Unmatched, platform.QueueKey(i, platform.HostKey), "only requests that name no host have an empty one"))
		case q.Prefix != "" && !strings.HasPrefix(q.Prefix, "/"):
			out = append(out, d.finding(Unmatched, platform.QueueKey(i, platform.PrefixKey),
				fmt.Sprintf("found %q; paths of requests begin with a slash", q.Prefix)))
		}
	}
	return out
}

// coveredBy returns the queue that gets all requests of queue i, if there is
// one. Since paths begin with a slash, the prefix "/" covers an empty one.
func coveredBy(first map[place]int, i int, q scheduler.Queue) (int, bool) {
	if j, ok := first[place{q.Host, "/"}]; ok && q.Prefix == "" {
		return j, true
	}
	j := first[place{q.Host, q.Prefix}]
	return j, j != i
}

// queueLimits finds queues whose deadline and objective contradict each other.
func (d document) queueLimits(queues []scheduler.Queue) []Finding {
	var out []Finding
	for i, q := range queues {
		if q.Timeout > 0 && q.Timeout < q.Slack {
			out = append(out, d.finding(Contradiction, platform.QueueKey(i, platform.TimeoutKey),
				fmt.Sprintf("%s is shorter than %s, %s", q.Timeout, platform.SlackKey, q.Slack)))
		}
		if most, bounded := longestInTime(q); bounded && (q.Timeout <= 0 || most < q.Timeout) {
			out = append(out, d.finding(Contradiction, platform.QueueKey(i, platform.StretchKey),
				fmt.Sprintf("a job whose longest chain is estimated at more than %s has an objective below that estimate", most)))
		}
	}
	return out
}

// longestInTime returns the longest chain of work that the objective of a job
// just allows for, unless it allows for any.
func longestInTime(q scheduler.Queue) (time.Duration, bool) {
	if q.Stretch >= 1 {
		return 0, false
	}
	most := float64(q.Slack) / (1 - q.Stretch)
	if most >= math.MaxInt64 {
		return 0, false
	}
	return max(0, time.Duration(most).Round(time.Millisecond)), true
}

// resendRules finds queues whose deadline is over before callers send a job
// again. Callers that name a deadline of their own are not bound by it.
func (d document) resendRules(queues []scheduler.Queue, resend time.Duration) []Finding {
	var out []Finding
	for i, q := range queues {
		if q.Timeout > 0 && q.Timeout < resend {
			out = append(out, d.finding(Contradiction, platform.QueueKey(i, platform.TimeoutKey),
				fmt.Sprintf("%s, for callers that name no deadline, is over before one without an answer sends the job again, after %s", q.Timeout, resend)))
		}
	}
	return out
}
