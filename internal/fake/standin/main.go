// Command standin runs the simulated parts of the quickstart as processes: the network fabric, a backend and a caller.
package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/fake/backend"
	"github.com/peridotstage/peridotstage/internal/fake/sprayer"
)

const callTimeout = 10 * time.Second

func main() {
	app := kingpin.New("standin", "Stand-ins for the quickstart.")
	addFabric(app)
	addBackend(app)
	addCall(app)
	kingpin.MustParse(app.Parse(os.Args[1:]))
}

// waitForSignal returns after SIGTERM or SIGINT.
func waitForSignal() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-ctx.Done()
}

func addFabric(app *kingpin.Application) {
	cmd := app.Command("fabric", "Spray the datagrams of a service address over entries.")
	listen := cmd.Flag("listen", "Service address.").Required().String()
	entries := cmd.Flag("entry", "Address of an entry for the service; may be repeated.").Required().Strings()
	seed := cmd.Flag("seed", "Seed of the random choices.").Default("1").Uint64()
	cmd.Action(func(*kingpin.ParseContext) error {
		address, err := netip.ParseAddrPort(*listen)
		if err != nil {
			return eris.Wrap(err, "--listen")
		}
		var entryAddresses []netip.AddrPort
		for _, e := range *entries {
			a, err := netip.ParseAddrPort(e)
			if err != nil {
				return eris.Wrap(err, "--entry")
			}
			entryAddresses = append(entryAddresses, a)
		}
		s := &sprayer.Sprayer{Address: address, Seed: *seed}
		s.SetEntries(entryAddresses)
		if err := s.Run(); err != nil {
			return err
		}
		defer s.Close()
		waitForSignal()
		return nil
	})
}

func addBackend(app *kingpin.Application) {
	cmd := app.Command("backend", "Serve requests as an upstream.")
	name := cmd.Flag("name", "Name in answers.").Required().String()
	listen := cmd.Flag("listen", "Address to listen on.").Required().String()
	slots := cmd.Flag("slots", "Requests served at once.").Default("2").Int()
	serviceTime := cmd.Flag("service-time", "Time in a slot.").Default("2ms").Duration()
	cmd.Action(func(*kingpin.ParseContext) error {
		address, err := netip.ParseAddrPort(*listen)
		if err != nil {
			return eris.Wrap(err, "--listen")
		}
		b := &backend.Backend{Name: *name, Address: address, Slots: *slots, ServiceTime: *serviceTime}
		if err := b.Run(); err != nil {
			return err
		}
		defer b.Close()
		waitForSignal()
		return nil
	})
}

func addCall(app *kingpin.Application) {
	cmd := app.Command("call", "Send requests over HTTP/3 and print the answers.")
	address := cmd.Arg("address", "Service address, IP:PORT.").Required().String()
	path := cmd.Flag("path", "Path of the request.").Default("/stock").String()
	method := cmd.Flag("method", "Method of the request.").Default(http.MethodGet).String()
	headers := cmd.Flag("header", "NAME: VALUE; may be repeated.").Strings()
	source := cmd.Flag("source", "Source IP address.").Required().String()
	authority := cmd.Flag("authority", "File with the authority's certificate.").Required().ExistingFile()
	host := cmd.Flag("host", "Host name in the service's certificate.").Required().String()
	count := cmd.Flag("count", "Number of requests, each on a connection of its own.").Default("1").Int()
	timeout := cmd.Flag("timeout", "Time for each request.").Default(callTimeout.String()).Duration()
	cmd.Action(func(*kingpin.ParseContext) error {
		pem, err := os.ReadFile(*authority)
		if err != nil {
			return eris.Wrap(err, "--authority")
		}
		pool := x509.NewCertPool()
		pool.AppendCertsFromPEM(pem)
		for range *count {
			if err := call(*address, *source, *method, *path, *headers, &tls.Config{RootCAs: pool, ServerName: *host}, *timeout); err != nil {
				return err
			}
		}
		return nil
	})
}

// call sends one request on a new connection and prints the status and the body of the response.
func call(address, source, method, path string, headers []string, cfg *tls.Config, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	conn, err := net.ListenPacket("udp", net.JoinHostPort(source, "0"))
	if err != nil {
		return eris.Wrap(err, "open socket")
	}
	defer conn.Close()
	transport := &quic.Transport{Conn: conn}
	defer transport.Close()
	h3 := &http3.Transport{
		TLSClientConfig: cfg,
		Dial: func(ctx context.Context, _ string, tlsCfg *tls.Config, quicCfg *quic.Config) (*quic.Conn, error) {
			to, err := net.ResolveUDPAddr("udp", address)
			if err != nil {
				return nil, err
			}
			return transport.DialEarly(ctx, to, tlsCfg, quicCfg)
		},
	}
	defer h3.Close()
	req, err := http.NewRequestWithContext(ctx, method, "https://"+address+path, nil)
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ":")
		req.Header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	resp, err := h3.RoundTrip(req)
	if err != nil {
		return eris.Wrap(err, "call")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return eris.Wrap(err, "read answer")
	}
	fmt.Printf("%d %s", resp.StatusCode, body)
	return nil
}
