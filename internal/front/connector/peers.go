package connector

import (
	"context"
	"crypto/tls"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/peridotstage/peridotstage/internal/control/replicator"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/wire/encoder"
	"github.com/peridotstage/peridotstage/internal/wire/messenger"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// deliverTimeout bounds one call to a peer, connecting included. It is longer than the election timeout because only this
	// peer waits for it.
	deliverTimeout = 1 * time.Second
	// deliverRetry is the wait after a failed call.
	deliverRetry = 100 * time.Millisecond
	// maxOutbox bounds the messages that wait for a peer. The oldest are dropped, because the protocol sends again.
	maxOutbox = 512
	// maxDelivery bounds the bytes of one call. drpc refuses messages above 4 MB.
	maxDelivery = 1 << 20
)

// AddressBook knows the addresses of control instances.
type AddressBook interface {
	AddressOf(name registrar.MachineName) (netip.AddrPort, bool)
}

// Peers sends messages to other control instances. Each has a queue, a connection and a goroutine of its own, so that a
// silent one does not delay the others. The exported fields are set before Run.
type Peers struct {
	// TLS is nil on a trusted network. Sender and Address then say who sends.
	TLS      func() *tls.Config
	Sender   registrar.MachineName
	Address  netip.AddrPort
	Recorder *recorder.Recorder
	// Addresses knows where control instances take calls.
	Addresses AddressBook
	// Traffic counts the bytes of calls to other instances.
	Traffic Traffic

	mu    sync.Mutex
	ctx   context.Context
	wg    sync.WaitGroup
	boxes map[registrar.MachineName]*outbox
	// idle are open connections for proposals.
	idle  map[netip.AddrPort][]*Client
	ended bool
}

// outbox holds the messages for one peer, under its own lock.
type outbox struct {
	mu      sync.Mutex
	name    registrar.MachineName
	address netip.AddrPort
	queue   []replicator.Message
	// wake has an element if the queue may not be empty.
	wake   chan struct{}
	silent bool
}

// Run sends messages until ctx ends.
func (p *Peers) Run(ctx context.Context) error {
	p.mu.Lock()
	p.ctx = ctx
	for _, b := range p.boxes {
		p.start(b)
	}
	p.mu.Unlock()
	<-ctx.Done()
	// No goroutine starts after this, so that all have ended when Run returns.
	p.closeIdle()
	p.wg.Wait()
	return nil
}

func (p *Peers) start(b *outbox) { p.wg.Go(func() { p.drain(p.ctx, b) }) }

// Send queues messages. It does not block.
func (p *Peers) Send(messages []replicator.Send) {
	for _, s := range messages {
		if s.Address.IsValid() {
			p.box(s.Name).put(s)
		}
	}
}

func (p *Peers) box(name registrar.MachineName) *outbox {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.boxes == nil {
		p.boxes = map[registrar.MachineName]*outbox{}
	}
	b := p.boxes[name]
	if b == nil {
		b = &outbox{name: name, wake: make(chan struct{}, 1)}
		p.boxes[name] = b
		if p.ctx != nil && !p.ended {
			p.start(b)
		}
	}
	return b
}

func (b *outbox) put(s replicator.Send) {
	b.mu.Lock()
	b.address = s.Address
	b.queue = append(b.queue, s.Message)
	if extra := len(b.queue) - maxOutbox; extra > 0 {
		b.queue = append([]replicator.Message(nil), b.queue[extra:]...)
	}
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// take returns the messages of the next call.
func (b *outbox) take() (netip.AddrPort, []replicator.Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, size := 0, 0
	for n < len(b.queue) && (n == 0 || size < maxDelivery) {
		size += messageSize(b.queue[n])
		n++
	}
	out := b.queue[:n:n]
	b.queue = b.queue[n:]
	return b.address, out
}

// messageSize estimates the bytes of a message. An append is at most 256 KiB, so a call stays below the limit of drpc.
func messageSize(m replicator.Message) int {
	switch body := m.Body.(type) {
	case replicator.Append:
		size := 0
		for _, e := range body.Entries {
			size += len(e.Command)
		}
		return size
	case replicator.SnapshotChunk:
		return len(body.Data)
	}
	return 0
}

// drain sends the messages of one peer until ctx ends.
func (p *Peers) drain(ctx context.Context, b *outbox) {
	c := &Client{TLS: p.TLS, Total: &p.Traffic}
	defer c.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		}
		for {
			address, messages := b.take()
			if len(messages) == 0 {
				break
			}
			if address != c.Address {
				c.Close()
				c.Address = address
			}
			err := p.deliver(ctx, c, messages)
			if ctx.Err() != nil {
				return
			}
			p.report(b, err)
			if err != nil && !Pause(ctx, deliverRetry) {
				return
			}
		}
	}
}

// Pause waits for d. It returns false if ctx ends before.
func Pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// report logs when a peer falls silent and when it is back.
func (p *Peers) report(b *outbox, err error) {
	silent := err != nil
	if silent == b.silent {
		return
	}
	b.silent = silent
	if silent {
		p.Recorder.Warn(recorder.PeerSilent, zap.String("peer", string(b.name)), recorder.Err(err))
	} else {
		p.Recorder.Info(recorder.PeerHeard, zap.String("peer", string(b.name)))
	}
}

func (p *Peers) deliver(ctx context.Context, c *Client, messages []replicator.Message) error {
	ctx, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	batch := &messenger.ConsensusBatch{Protocol: encoder.Protocol}
	if p.TLS == nil {
		batch.Sender, batch.SenderAddress = string(p.Sender), p.Address.String()
	}
	for _, m := range messages {
		out, err := encoder.ConsensusToMessage(m)
		if err != nil {
			return err
		}
		batch.Messages = append(batch.Messages, out)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, err := c.connect(ctx)
	if err != nil {
		return err
	}
	if _, err := messenger.NewDRPCConsensusClient(conn).Deliver(ctx, batch); err != nil {
		// The connection may have gone silent, so the next call opens a new one.
		c.closeLocked()
		return eris.Wrapf(err, "deliver to %s", c.Address)
	}
	return nil
}
