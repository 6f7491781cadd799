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
	// deliverTimeout bounds one call to a peer, including connection setup. It may be longer than the election timeout, because
	// it delays only the messages to this peer.
	deliverTimeout = 1 * time.Second
	// deliverRetryDelay is the delay after a failed call.
	deliverRetryDelay = 100 * time.Millisecond
	// maxQueuedMessages bounds the queue for one peer. The oldest messages are dropped, because the protocol retransmits.
	maxQueuedMessages = 512
	// maxBatchSize is the size in bytes at which a batch is sent. drpc refuses messages above 4 MB.
	maxBatchSize = 1 << 20
)

// AddressBook returns the addresses of control instances.
type AddressBook interface {
	AddressOf(name registrar.MachineName) (netip.AddrPort, bool)
}

// Peers sends messages to other control instances. Each peer has its own queue, connection and goroutine, so that a peer that does
// not answer does not delay messages to the others. The exported fields are set before Run.
type Peers struct {
	// TLS is nil on a trusted network. Each batch then carries Sender and Address, the name and address of this instance.
	TLS      func() *tls.Config
	Sender   registrar.MachineName
	Address  netip.AddrPort
	Recorder *recorder.Recorder
	// Addresses returns the addresses at which control instances receive calls.
	Addresses AddressBook
	// Traffic counts the bytes of calls to other instances.
	Traffic Traffic

	mu       sync.Mutex
	ctx      context.Context
	wg       sync.WaitGroup
	outboxes map[registrar.MachineName]*outbox
	// idle holds clients with open connections for proposals, by the address of the leader.
	idle map[netip.AddrPort][]*Client
	// isClosed is set when Run ends. No goroutine starts and no client becomes idle after that.
	isClosed bool
}

// outbox holds the queued messages for one peer, under its own lock.
type outbox struct {
	mu      sync.Mutex
	name    registrar.MachineName
	address netip.AddrPort
	queue   []replicator.Message
	// wake has an element after messages were added to the queue.
	wake chan struct{}
	// isSilent is true if the newest call failed.
	isSilent bool
}

// Run sends messages until ctx ends.
func (p *Peers) Run(ctx context.Context) error {
	p.mu.Lock()
	p.ctx = ctx
	for _, b := range p.outboxes {
		p.startSender(b)
	}
	p.mu.Unlock()
	<-ctx.Done()
	// No goroutine starts after closeIdle, so all have ended when Run returns.
	p.closeIdle()
	p.wg.Wait()
	return nil
}

// startSender starts the goroutine of an outbox. The caller holds mu.
func (p *Peers) startSender(b *outbox) { p.wg.Go(func() { p.sendQueued(p.ctx, b) }) }

// Send queues messages to be sent. It does not wait for the network. Messages without a valid address are dropped.
func (p *Peers) Send(messages []replicator.Send) {
	for _, s := range messages {
		if s.Address.IsValid() {
			p.peerOutbox(s.Name).add(s)
		}
	}
}

// peerOutbox returns the outbox of a peer, and creates it at the first message.
func (p *Peers) peerOutbox(name registrar.MachineName) *outbox {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.outboxes == nil {
		p.outboxes = map[registrar.MachineName]*outbox{}
	}
	b := p.outboxes[name]
	if b == nil {
		b = &outbox{name: name, wake: make(chan struct{}, 1)}
		p.outboxes[name] = b
		if p.ctx != nil && !p.isClosed {
			p.startSender(b)
		}
	}
	return b
}

// add queues a message. All queued messages are sent to the address in the newest call of add.
func (b *outbox) add(s replicator.Send) {
	b.mu.Lock()
	b.address = s.Address
	b.queue = append(b.queue, s.Message)
	if excess := len(b.queue) - maxQueuedMessages; excess > 0 {
		b.queue = append([]replicator.Message(nil), b.queue[excess:]...)
	}
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// nextBatch removes the messages of the next call from the queue and returns them with the peer's address.
func (b *outbox) nextBatch() (netip.AddrPort, []replicator.Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, size := 0, 0
	for n < len(b.queue) && (n == 0 || size < maxBatchSize) {
		size += messageSize(b.queue[n])
		n++
	}
	batch := b.queue[:n:n]
	b.queue = b.queue[n:]
	return b.address, batch
}

// messageSize estimates the encoded size of a message in bytes. An append is at most 256 KiB, so a call stays below the
// limit of drpc.
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

// sendQueued sends the queued messages of one peer until ctx ends.
func (p *Peers) sendQueued(ctx context.Context, b *outbox) {
	c := &Client{TLS: p.TLS, Total: &p.Traffic}
	defer c.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		}
		for {
			address, messages := b.nextBatch()
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
			p.logChange(b, err)
			if err != nil && !Pause(ctx, deliverRetryDelay) {
				return
			}
		}
	}
}

// Pause waits for d. It returns false if ctx ends first.
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

// logChange logs the first failed call to a peer, and the first successful one after it.
func (p *Peers) logChange(b *outbox, err error) {
	isSilent := err != nil
	if isSilent == b.isSilent {
		return
	}
	b.isSilent = isSilent
	if isSilent {
		p.Recorder.Warn(recorder.PeerSilent, zap.String("peer", string(b.name)), recorder.Err(err))
	} else {
		p.Recorder.Info(recorder.PeerHeard, zap.String("peer", string(b.name)))
	}
}

// deliver sends one batch of messages.
func (p *Peers) deliver(ctx context.Context, c *Client, messages []replicator.Message) error {
	ctx, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	batch := &messenger.ConsensusBatch{Protocol: encoder.Protocol}
	if p.TLS == nil {
		batch.Sender, batch.SenderAddress = string(p.Sender), p.Address.String()
	}
	for _, m := range messages {
		encoded, err := encoder.ConsensusToMessage(m)
		if err != nil {
			return err
		}
		batch.Messages = append(batch.Messages, encoded)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, err := c.connect(ctx)
	if err != nil {
		return err
	}
	if _, err := messenger.NewDRPCConsensusClient(conn).Deliver(ctx, batch); err != nil {
		// The connection may be dead, so the next call opens a new one.
		c.closeLocked()
		return eris.Wrapf(err, "deliver messages to %s", c.Address)
	}
	return nil
}
