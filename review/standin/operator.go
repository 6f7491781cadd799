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

// operator sends orders to the control instances, and moves on to the next one after a failure.
type operator struct {
	sys      *system
	controls []int
}

// order sends an order until it is acknowledged.
func (o *operator) order(path string, body []byte, limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end); i++ {
		n := o.controls[i%len(o.controls)]
		r, err := client.Post("http://"+o.sys.address(n, controlPort)+path, "application/json", bytes.NewReader(body))
		if err == nil {
			text, _ := io.ReadAll(r.Body)
			_ = r.Body.Close()
			if r.StatusCode/100 == 2 {
				o.sys.rec.say("operator: %s acknowledged by machine %d", path, n)
				return nil
			}
			o.sys.rec.add("operator: %s at machine %d: %d %s", path, n, r.StatusCode, text)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%w: %s is not acknowledged", errSetup, path)
}

// replace sends a configuration.
func (o *operator) replace(c configBody) error {
	b, err := json.Marshal(c)
	if err != nil {
		return err
	}
	o.sys.rec.add("operator sends %s", b)
	return o.order(replacePath, b, 20*time.Second)
}

// orderAddress is the address of the order route.
var orderAddress = netip.MustParseAddrPort("127.18.0.1:8080")

// The services of the deployment.
const (
	orderDesk = "order-desk"
	catalogue = "catalogue"
)

// deploymentConfig returns a configuration whose order route leads to a service.
func deploymentConfig(version int, orderService string, coldRate float64) configBody {
	c := configBody{Version: version, Limits: map[string]int{
		"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
	}}
	c.Routes = []routeBody{
		{
			Name: "r-order", Host: "127.18.0.1", PathPrefix: "/8080/", Type: "non_idempotent", TimeoutMS: 2500, TargetLatency: 150,
			Priority: 1, Service: orderService, MaxAttempts: 2,
		},
		{
			Name: "r-drawing", Host: "127.18.0.1", PathPrefix: "/8443/", Type: "download", TimeoutMS: 8000, TargetLatency: 500,
			Priority: 2, Service: catalogue, MaxAttempts: 2,
		},
	}
	for _, name := range []string{orderDesk, catalogue} {
		c.Services = append(c.Services, serviceBody{
			Name: name, HealthPath: "/health", MaxConnections: 2000, Protocol: "h1", ColdStart: 2, ColdRate: coldRate,
		})
	}
	return c
}
