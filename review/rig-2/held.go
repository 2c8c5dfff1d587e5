package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// retransmissions are when TCP sends bytes again that were not acknowledged, counted from
// when they were first sent.
var retransmissions = []time.Duration{
	200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3000 * time.Millisecond, 6200 * time.Millisecond,
}

// roundTrip is the time of a packet between a client and a node of another zone and back.
const roundTrip = 6 * time.Millisecond

// heldPath is the path of clients to an entry in another zone. While it is cut, bytes of
// the clients are held up: they arrive with the first retransmission after the cut, and
// the end of a connection one round trip after the bytes before it.
type heldPath struct {
	target string
	l      net.Listener

	mu     sync.Mutex
	isCut  bool
	healed chan struct{}
}

func newHeldPath(target string) (*heldPath, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &heldPath{target: target, l: l, healed: make(chan struct{})}
	close(p.healed)
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go p.carry(in)
		}
	}()
	return p, nil
}

func (p *heldPath) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut, p.healed = true, make(chan struct{})
}

func (p *heldPath) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = false
	close(p.healed)
}

// arrive waits until bytes that are sent now arrive. It reports whether they were held up.
func (p *heldPath) arrive() bool {
	sentAt := time.Now()
	p.mu.Lock()
	held, healed := p.isCut, p.healed
	p.mu.Unlock()
	if !held {
		return false
	}
	<-healed
	for _, d := range retransmissions {
		if at := sentAt.Add(d); at.After(time.Now()) {
			time.Sleep(time.Until(at))
			return true
		}
	}
	return true
}

func (p *heldPath) carry(in net.Conn) {
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = in.Close()
		return
	}
	go func() {
		buf := make([]byte, 16<<10)
		for {
			n, err := out.Read(buf)
			if n > 0 {
				_, _ = in.Write(buf[:n])
			}
			if err != nil {
				_ = in.Close()
				return
			}
		}
	}()
	buf := make([]byte, 16<<10)
	held := false
	for {
		n, err := in.Read(buf)
		if n > 0 {
			held = p.arrive()
			if _, werr := out.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if held {
				time.Sleep(roundTrip)
			}
			_ = out.Close()
			return
		}
	}
}

// post sends a job on an open connection, and returns the status of the answer, 0 if there
// is none while the client waits.
func (w *world) post(c net.Conn, j jobSpec, patience time.Duration) int {
	raw, _ := json.Marshal(map[string]any{
		"spec": "spec of " + j.id, "best_effort": true,
		"steps": []any{map[string]any{"count": j.tasks, "cpu": j.cpu, "mem_mb": 64, "estimate_ms": j.took.Milliseconds()}},
	})
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n", prefix, j.id, hostName, patience.Milliseconds(), len(raw))
	b.Write(raw)
	_ = c.SetDeadline(time.Now().Add(patience))
	if _, err := c.Write(b.Bytes()); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// askWaiting asks for the number of waiting jobs on an open connection.
func askWaiting(c net.Conn) error {
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", prefix, hostName); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// holdUp sends jobs to an entry on open connections while cut is in force, from 0.3 s to
// 0.6 s after its begin. Clients that get no answer close their connections and send their
// jobs again, to another entry.
func (w *world) holdUp(round int, far, near *entry, trouble bool, cut, heal func()) (verdict, error) {
	const (
		// 24 requests in 0.3 s are 80 a second.
		clients       = 24
		patience      = 1500 * time.Millisecond // the deadline of the site's requests
		first, spread = 300 * time.Millisecond, 300 * time.Millisecond
		cutTime       = 3300 * time.Millisecond
	)
	path, err := newHeldPath(far.front)
	if err != nil {
		return verdict{}, err
	}
	begin := make(chan struct{})
	var wg sync.WaitGroup
	for i := range clients {
		c, err := net.Dial("tcp", path.l.Addr().String())
		if err != nil {
			return verdict{}, err
		}
		// The connection has carried a request before.
		if err := askWaiting(c); err != nil {
			return verdict{}, err
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			j := jobSpec{id: fmt.Sprintf("5c0e7a21d94b%02x%02x", round, i), tasks: 2, cpu: 1600, took: 900 * time.Millisecond}
			w.addJob(j)
			<-begin
			time.Sleep(first + spread*time.Duration(i)/clients)
			w.note("client sends POST %s to %s on an open connection", j.id, far.name)
			status := w.post(c, j, patience)
			w.note("answer to POST %s at %s: %d", j.id, far.name, status)
			_ = c.Close()
			if status != 0 {
				return
			}
			time.Sleep(retryDelay)
			w.submit(near, j, patience)
		}()
	}
	close(begin)
	if trouble {
		path.cut()
		cut()
		time.Sleep(cutTime)
		path.heal()
		heal()
	}
	wg.Wait()
	time.Sleep(4 * time.Second)
	if text := w.overlaps(); text != "" {
		return verdict{true, "TWICE: " + text}, nil
	}
	return verdict{false, "no task ran twice at the same time"}, nil
}

// holdUpAgain plays holdUp until the rule breaks, five times at most.
func (w *world) holdUpAgain(far, near *entry, trouble bool, cut, heal func()) (verdict, error) {
	const rounds = 5
	for round := range rounds {
		v, err := w.holdUp(round, far, near, trouble, cut, heal)
		if err != nil || v.broken || round == rounds-1 {
			return v, err
		}
		time.Sleep(contact)
	}
	return verdict{}, nil
}

// heldRequests: two zones can't reach each other. Clients in one of them have open
// connections to the node in the other one; their requests are held up, and they send them
// again to a node that both zones reach.
func heldRequests(w *world, trouble bool) (verdict, error) {
	if err := w.deploy(fiveZones, 2, fiveZones); err != nil {
		return verdict{}, err
	}
	far, near := w.entries["edge-ost-graz-1"], w.entries["edge-ost-linz-1"]
	return w.holdUpAgain(far, near, trouble,
		func() { w.cutBetween("ost-wien", "ost-graz", true) },
		func() { w.cutBetween("ost-wien", "ost-graz", false) })
}

// cutOffEntry: the machine of one entry is cut off from all others: from the agents, the
// store and the clients; five times at most.
func cutOffEntry(w *world, trouble bool) (verdict, error) {
	zones := fourZones[:3]
	if err := w.deploy(zones, 2, zones); err != nil {
		return verdict{}, err
	}
	far, near := w.entries["edge-"+zones[2]+"-1"], w.entries["edge-"+zones[1]+"-1"]
	set := func(off bool, change func(p *proxy)) func() {
		return func() {
			far.storeCut.Store(off)
			var wg sync.WaitGroup
			for _, p := range far.links {
				wg.Add(1)
				go func() {
					defer wg.Done()
					change(p)
				}()
			}
			wg.Wait()
			w.note("%s is cut off: %t", far.name, off)
		}
	}
	return w.holdUpAgain(far, near, trouble, set(true, (*proxy).cut), set(false, (*proxy).heal))
}

// maxCut is how long a cut lasts: the troubles of sites/marktblick-at.toml have 5.5 s.
const maxCut = 5400 * time.Millisecond

// lostClients: two zones can't reach each other, and clients that have lost their
// connections send their jobs again.
func lostClients(w *world, trouble bool) (verdict, error) {
	if err := w.deploy(fiveZones, 2, fiveZones); err != nil {
		return verdict{}, err
	}
	first, second := w.entries["edge-ost-linz-1"], w.entries["edge-ost-graz-1"]
	if trouble {
		w.cutBetween("ost-wien", "ost-graz", true)
		time.AfterFunc(maxCut, func() { w.cutBetween("ost-wien", "ost-graz", false) })
	}
	time.Sleep(500 * time.Millisecond)
	const jobs = 8
	job := func(i int) jobSpec {
		return jobSpec{id: fmt.Sprintf("5c0e7a21d94b36%02x", i), tasks: 2, cpu: 1600, took: 3200 * time.Millisecond}
	}
	var wg sync.WaitGroup
	for i := range jobs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			w.submit(first, job(i), 6*time.Second)
		}()
	}
	if !await(2*time.Second, func() bool { return len(w.allRuns()) == 2*jobs }) {
		return verdict{}, fmt.Errorf("%d of %d tasks have started", len(w.allRuns()), 2*jobs)
	}
	time.Sleep(100 * time.Millisecond)
	w.note("the clients' connections to %s break; the entry hears nothing of that", first.name)
	first.callers.loseClients()
	wg.Wait()
	time.Sleep(retryDelay)
	for i := range jobs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			w.submit(second, job(i), 5*time.Second)
		}()
	}
	wg.Wait()
	if text := w.overlaps(); text != "" {
		return verdict{true, "TWICE: " + text}, nil
	}
	return verdict{false, "no task ran twice at the same time"}, nil
}
