package checker

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/pomeloferry/pomeloferry/acceptor"
	"github.com/pomeloferry/pomeloferry/limiter"
	"github.com/pomeloferry/pomeloferry/platform"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

// checkConfiguration checks the operators' configuration, also against the settings of
// a machine if they are given.
func (d document) checkConfiguration(deployment *File) ([]Finding, error) {
	result := decode(d, platform.ParseConfiguration)
	findings := result.findings
	if hasFault(findings) {
		return findings, nil
	}
	findings = append(findings, d.checkUnreachableQueues(result.value.Queues)...)
	findings = append(findings, d.checkQueueLimits(result.value.Queues)...)
	findings = append(findings, d.checkHeadLimit(result.value)...)
	if deployment == nil {
		return findings, nil
	}
	s, err := platform.ParseSettings(string(deployment.Raw))
	if err != nil {
		return nil, &Error{Op: "read settings", Kind: Unreadable, File: deployment.Name, Err: err}
	}
	findings = append(findings, d.checkBodyLimit(result.value, s)...)
	return append(findings, d.checkResendDelay(result.value.Queues, s.MinResendDelay)...), nil
}

// checkHeadLimit finds a limit for heads that is above what an entry accepts.
func (d document) checkHeadLimit(c scheduler.Configuration) []Finding {
	if c.HeadLimit <= limiter.MaxServerHeadBytes {
		return nil
	}
	return []Finding{d.finding(Contradiction, platform.LimitKey(platform.HeadLimitKey),
		fmt.Sprintf("entries refuse heads of more than %d bytes", limiter.MaxServerHeadBytes))}
}

// checkBodyLimit finds a limit for bodies that an entry has no memory for.
func (d document) checkBodyLimit(c scheduler.Configuration, s platform.Settings) []Finding {
	largest := acceptor.CallerLimits(s.Instance()).LargestBody()
	if c.BodyLimit <= largest {
		return nil
	}
	return []Finding{d.finding(Contradiction, platform.LimitKey(platform.BodyLimitKey),
		fmt.Sprintf("an entry of %s=%d has room for a body of %d bytes", platform.MemoryLimitKey, s.MemoryBytes/limiter.BytesPerMegabyte, largest))}
}

// routeKey is the host and the path prefix of the requests that a queue accepts.
type routeKey struct{ host, prefix string }

// checkUnreachableQueues finds queues that no request can reach. A request goes to the
// queue with the longest matching prefix, and of several with the same prefix to the
// one listed first.
func (d document) checkUnreachableQueues(queues []scheduler.Queue) []Finding {
	firstByRoute := make(map[routeKey]int)
	for i, q := range slices.Backward(queues) {
		firstByRoute[routeKey{q.Host, q.Prefix}] = i
	}
	var out []Finding
	for i, q := range queues {
		j, covered := coveredBy(firstByRoute, i, q)
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

// coveredBy returns the index of the queue that receives all requests that would match
// queue i, if there is one. Since paths begin with a slash, the prefix "/" covers an
// empty one.
func coveredBy(firstByRoute map[routeKey]int, i int, q scheduler.Queue) (int, bool) {
	if j, ok := firstByRoute[routeKey{q.Host, "/"}]; ok && q.Prefix == "" {
		return j, true
	}
	j := firstByRoute[routeKey{q.Host, q.Prefix}]
	return j, j != i
}

// checkQueueLimits finds queues whose timeout and latency objective contradict each
// other.
func (d document) checkQueueLimits(queues []scheduler.Queue) []Finding {
	var out []Finding
	for i, q := range queues {
		if q.Timeout > 0 && q.Timeout < q.Slack {
			out = append(out, d.finding(Contradiction, platform.QueueKey(i, platform.TimeoutKey),
				fmt.Sprintf("%s is shorter than %s, %s", q.Timeout, platform.SlackKey, q.Slack)))
		}
		if longest, bounded := maxChainWithinObjective(q); bounded && (q.Timeout <= 0 || longest < q.Timeout) {
			out = append(out, d.finding(Contradiction, platform.QueueKey(i, platform.StretchKey),
				fmt.Sprintf("a job whose longest chain is estimated at more than %s has an objective below that estimate", longest)))
		}
	}
	return out
}

// maxChainWithinObjective returns the length of the longest chain of tasks that can
// meet the objective of a job. It returns false if the objective does not bound the
// length.
func maxChainWithinObjective(q scheduler.Queue) (time.Duration, bool) {
	if q.Stretch >= 1 {
		return 0, false
	}
	longest := float64(q.Slack) / (1 - q.Stretch)
	if longest >= math.MaxInt64 {
		return 0, false
	}
	return max(0, time.Duration(longest).Round(time.Millisecond)), true
}

// checkResendDelay finds queues whose timeout ends before a caller without an answer
// sends its job again. The timeout does not apply to callers that set a deadline.
func (d document) checkResendDelay(queues []scheduler.Queue, minResendDelay time.Duration) []Finding {
	var out []Finding
	for i, q := range queues {
		if q.Timeout > 0 && q.Timeout < minResendDelay {
			out = append(out, d.finding(Contradiction, platform.QueueKey(i, platform.TimeoutKey),
				fmt.Sprintf("%s, for callers that name no deadline, is over before one without an answer sends the job again, after %s", q.Timeout, minResendDelay)))
		}
	}
	return out
}
