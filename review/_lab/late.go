package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["late"] = lateSecondAnswer }

// shedAnswer is the answer of a full engine, as the pages print it ("a server sheds").
const shedAnswer = "HTTP/1.1 503 Service Unavailable\r\nColtsfootpath-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"

// rawEngine is a stand-in for an engine of a plain service that runs some requests at once, lets a
// few wait, and sheds others. It gives a share of its answers a second time, late: at the point
// where the next answer on the connection is expected.
type rawEngine struct {
	id, service, zone string
	rec               *record
	listener          net.Listener
	born              int64
	slots             chan struct{}
	queue             int

	mu      sync.Mutex
	late    float64
	random  *rand.Rand
	waiting int
	runs    map[string]int
	sheds   int
	second  int
}

func (c *cluster) startRawEngine(id, service, zone string, seed uint64) (*rawEngine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &rawEngine{id: id, service: service, zone: zone, rec: c.rec, listener: l, born: time.Now().UnixMilli(), slots: make(chan struct{}, 6), queue: 3, random: rand.New(rand.NewPCG(seed, 1)), runs: map[string]int{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	data, err := json.Marshal(map[string]any{"service": service, "address": l.Addr().String(), "zone": zone, "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0, "seq": 1, "born": e.born})
	if err != nil {
		return nil, err
	}
	return e, c.store.TryPut("keyed.servers", id, data)
}

// enter takes a slot or a place in the queue, and returns false if there is none.
func (e *rawEngine) enter() bool {
	select {
	case e.slots <- struct{}{}:
		return true
	default:
	}
	e.mu.Lock()
	if e.waiting >= e.queue {
		e.mu.Unlock()
		return false
	}
	e.waiting++
	e.mu.Unlock()
	e.slots <- struct{}{}
	e.mu.Lock()
	e.waiting--
	e.mu.Unlock()
	return true
}

func (e *rawEngine) draw() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.Float64()
}

// isSpoiling reports whether an answer is given a second time.
func (e *rawEngine) isSpoiling() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.late > 0 && e.random.Float64() < e.late
}

// setLate sets the share of the answers that are given a second time.
func (e *rawEngine) setLate(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.late = share
}

func (e *rawEngine) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	second := ""
	for {
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		id := r.Header.Get("Coltsfootpath-Request-Id")
		if second != "" {
			e.rec.addf("engine %s: second copy of an earlier answer before that to id=%s", e.id, id)
			if _, err := io.WriteString(conn, second); err != nil {
				return
			}
			second = ""
			e.mu.Lock()
			e.second++
			e.mu.Unlock()
		}
		answer := e.answer(r, id)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		if e.isSpoiling() {
			second = answer
		}
	}
}

func (e *rawEngine) answer(r *http.Request, id string) string {
	if expected := r.Header.Get("Coltsfootpath-Expect-Engine"); expected != "" && expected != e.id {
		return "HTTP/1.1 421 Misdirected Request\r\nColtsfootpath-Engine-Id: " + e.id + "\r\nContent-Length: 0\r\n\r\n"
	}
	if r.URL.Path == "/healthz" {
		return "HTTP/1.1 200 OK\r\nColtsfootpath-Engine-Id: " + e.id + "\r\nContent-Length: 0\r\n\r\n"
	}
	if !e.enter() {
		e.mu.Lock()
		e.sheds++
		e.mu.Unlock()
		return shedAnswer
	}
	defer func() { <-e.slots }()
	e.mu.Lock()
	e.runs[id]++
	e.mu.Unlock()
	time.Sleep(time.Duration(20+30*e.draw()) * time.Millisecond)
	body := "done " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nColtsfootpath-Request-Id: %s\r\nColtsfootpath-Engine-Seal: %s.%s\r\nContent-Length: %d\r\n\r\n%s", id, e.id, id, len(body), body)
}

// lateSecondAnswer: engines give a share of their answers a second time, late.
func lateSecondAnswer(rec *record, trouble bool) (bool, error) {
	c, err := newCluster(rec)
	if err != nil {
		return false, err
	}
	defer c.close()
	const (
		lateShare = 0.03            // x
		spoiling  = 2               // share 0.6 of 4 engines
		window    = 5 * time.Second // for_s
		between   = 5 * time.Second
		windows   = 4
	)
	var engines []*rawEngine
	for i := range 4 {
		e, err := c.startRawEngine(fmt.Sprintf("i-%d", i), "wuno96b", fmt.Sprintf("zone-%c", 'a'+i), uint64(i))
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	if err := c.putConfig(plainConfig(7, oneTenant())); err != nil {
		return false, err
	}
	cl := newCloud(rec)
	for i := range 4 {
		address, err := cl.addressFor(fmt.Sprint(i + 1))
		if err != nil {
			return false, err
		}
		if err := c.start(c.addMachine(fmt.Sprintf("front-zone-%c-1", 'a'+i), fmt.Sprintf("zone-%c", 'a'+i), i+1, address)); err != nil {
			return false, err
		}
	}
	if err := c.awaitReady(20*time.Second, c.machines...); err != nil {
		return false, err
	}
	var load sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]answer{}
	statuses := map[int]int{}
	end := time.Now().Add(windows * (window + between))
	for client := range 44 {
		load.Go(func() {
			random := rand.New(rand.NewPCG(uint64(client), 3))
			for k := 0; time.Now().Before(end); k++ {
				id := fmt.Sprintf("%04x%08x", client, k)
				a := send(c.machines[random.IntN(len(c.machines))], request{method: http.MethodPost, path: "/puxa403/2f", id: id, key: "i9n73hh2b9wu3fexd9dn", deadline: 1500 * time.Millisecond, body: []byte("posting " + id)})
				mu.Lock()
				answers[id] = a
				statuses[a.status]++
				mu.Unlock()
				time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
			}
		})
	}
	for range windows {
		time.Sleep(between)
		setAll := func(share float64) {
			for _, e := range engines[:spoiling] {
				e.setLate(share)
			}
		}
		if trouble {
			setAll(lateShare)
			rec.addf("engines: %d of %d give %v of their answers a second time, late", spoiling, len(engines), lateShare)
		}
		time.Sleep(window)
		setAll(0)
		rec.addf("engines: sound")
	}
	load.Wait()
	time.Sleep(time.Second)
	twice, refused, total := 0, 0, map[string]int{}
	for _, e := range engines {
		e.mu.Lock()
		for id, n := range e.runs {
			total[id] += n
		}
		rec.addf("engine %s: %d requests run, %d shed, %d second copies sent", e.id, len(e.runs), e.sheds, e.second)
		e.mu.Unlock()
	}
	for _, id := range sortedKeys(answers) {
		a := answers[id]
		rec.addf("id=%s sent once, answered %d (%v), ran %d times", id, a.status, a.err, total[id])
		if total[id] > 1 {
			rec.addf("BROKEN (TWICE): id=%s ran %d times, answered %d", id, total[id], a.status)
			twice++
		}
		if total[id] > 0 && (a.status == 429 || a.status == 503) {
			rec.addf("BROKEN (REFUSED): id=%s ran %d times, answered %d", id, total[id], a.status)
			refused++
		}
	}
	rec.addf("%d requests by status %v; %d ran more than once, %d were refused and had run", len(answers), statuses, twice, refused)
	return twice+refused > 0, nil
}
