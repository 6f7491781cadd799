package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	drainTime  = 3 * time.Second
	drainRate  = 50
	checkInGap = 5500 * time.Millisecond
)

// heldUp is a proxy that takes the bytes of one connection and passes them on when it is released, also if their sender has ended.
type heldUp struct {
	listener net.Listener
	to       string
	released chan struct{}
}

func newHeldUp(address, to string) (*heldUp, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errSetup, err)
	}
	h := &heldUp{listener: l, to: to, released: make(chan struct{})}
	go h.serve()
	return h, nil
}

func (h *heldUp) serve() {
	conn, err := h.listener.Accept()
	_ = h.listener.Close()
	if err != nil {
		return
	}
	defer conn.Close()
	b := make([]byte, 4096)
	n, err := conn.Read(b)
	if err != nil {
		return
	}
	<-h.released
	out, err := net.Dial("tcp", h.to)
	if err != nil {
		return
	}
	defer out.Close()
	if _, err := out.Write(b[:n]); err == nil {
		// The answer has no reader any more.
		_, _ = out.Read(b)
	}
}

// lateCheckIn: the first check-in of a server is held up. The server crashes, a new one starts at its address, works and leaves. After
// that the check-in arrives.
func lateCheckIn(sys *system, trouble bool) ([]string, error) {
	d, err := newDeployment(sys, 4, workTime)
	if err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for i, z := range zones {
		c, err := startCaller(sys, d.router, 99+i, z)
		if err != nil {
			return nil, err
		}
		wg.Go(func() { c.openSteadily(drainRate, stop, &wg) })
	}
	const machine = 41
	if err := sys.start("agent", "side-41", machine, zones[0], map[string]any{"service": orderDesk}); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	held, err := newHeldUp(sys.address(machine, 9001), sys.address(machine, controlPort))
	if err != nil {
		return nil, err
	}
	sentAt := time.Now()
	first, err := startServer(sys, machine, "i-41-first", orderDesk, zones[0], sys.address(machine, 9001), coldTime, workTime)
	if err != nil {
		return nil, err
	}
	time.Sleep(200 * time.Millisecond)
	first.crash()
	time.Sleep(500 * time.Millisecond)
	second, err := startServer(sys, machine, "i-41-second", orderDesk, zones[0], "", coldTime, workTime)
	if err != nil {
		return nil, err
	}
	d.servers = append(d.servers, second)
	time.Sleep(1800 * time.Millisecond)
	second.drain()
	time.Sleep(time.Until(sentAt.Add(checkInGap)))
	if trouble {
		close(held.released)
		sys.rec.say("the check-in of server %s arrives", first.id)
	}
	time.Sleep(6 * time.Second)
	close(stop)
	wg.Wait()
	return second.afterDrain()
}

// afterDrain returns a text if the server got new requests later than drainTime after its leave was acknowledged.
func (s *server) afterDrain() ([]string, error) {
	s.mu.Lock()
	ackedAt := s.drainAckedAt
	s.mu.Unlock()
	if ackedAt.IsZero() {
		return nil, fmt.Errorf("%w: the leave is not acknowledged", errSetup)
	}
	seen, before, late := map[flowKey]bool{}, 0, 0
	for _, a := range s.seen() {
		if !a.opens || seen[a.flow] {
			continue
		}
		seen[a.flow] = true
		if !a.at.After(ackedAt.Add(drainTime)) {
			before++
			continue
		}
		late++
		s.sys.rec.add("server %s, draining: flow %s arrived %.3f s after the acknowledgement", s.id, a.flow.requester, a.at.Sub(ackedAt).Seconds())
	}
	s.sys.rec.say("server %s: %d new flows until %s after the acknowledgement, %d later", s.id, before, drainTime, late)
	if late == 0 {
		return nil, nil
	}
	return []string{fmt.Sprintf("draining server %s got %d new requests later than %s after its leave was acknowledged", s.id, late, drainTime)}, nil
}
