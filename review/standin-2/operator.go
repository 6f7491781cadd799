package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"
)

// orderTimeout is the time without a response after which the operator sends an order to another node.
const orderTimeout = time.Second

// operator sends orders to the control instances in turn.
type operator struct {
	rec   *record
	nodes []netip.AddrPort
}

// try sends an order to one node and returns the status, or 0 without a response.
func (o *operator) try(node netip.AddrPort, path string, body []byte) int {
	client := http.Client{Timeout: orderTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Post("http://"+node.String()+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode
}

// order sends an order until it is acknowledged or the time is over. It reports whether it was acknowledged.
func (o *operator) order(path string, body []byte, limit time.Duration) bool {
	pause := 50 * time.Millisecond
	for begun := time.Now(); time.Since(begun) < limit; {
		for _, node := range o.nodes {
			status := o.try(node, path, body)
			o.rec.add("order %s to %v: status %d", path, node, status)
			if status == http.StatusOK {
				return true
			}
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return false
}

// routeConfig is a route of a config.
type routeConfig struct {
	Name          string  `json:"name"`
	Host          string  `json:"host"`
	PathPrefix    string  `json:"path_prefix"`
	Type          string  `json:"type"`
	Timeout       float64 `json:"timeout_ms"`
	TargetLatency float64 `json:"target_latency_ms"`
	Priority      int     `json:"priority"`
	Service       string  `json:"service"`
	MaxAttempts   int     `json:"max_attempts"`
}

// newRoute returns a route at a port of the route address.
func newRoute(name string, route netip.AddrPort, service string) routeConfig {
	return routeConfig{
		Name: name, Host: route.Addr().String(), PathPrefix: fmt.Sprintf("/%d/", route.Port()), Type: "idempotent",
		Timeout: 10_000, TargetLatency: 500, Priority: 1, Service: service, MaxAttempts: 2,
	}
}

// config returns the body of a config.
func config(version int, routes []routeConfig, services []string) []byte {
	var all []map[string]any
	for _, s := range services {
		all = append(all, map[string]any{
			"name": s, "health_path": "/health", "max_connections": 2000, "protocol": "h1", "tls": false,
			"cold_start_s": coldStart.Seconds(), "cold_per_s": 0.0,
		})
	}
	b, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": all,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
	if err != nil {
		panic(err)
	}
	return b
}
