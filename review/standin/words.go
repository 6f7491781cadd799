package main

// Words of the platform's pages that the stand-ins speak.
const (
	heartbeatPath   = "/Instances.Heartbeat/"
	replacePath     = "/Config.Replace"
	requestIDHeader = "X-Peridotstage-Request-Id"
	signatureHeader = "X-Peridotstage-Server-Signature"
)

// checkInBody is the body of a check-in.
type checkInBody struct {
	Service       string  `json:"service"`
	Address       string  `json:"address"`
	Zone          string  `json:"zone"`
	Version       string  `json:"version"`
	Concurrency   int     `json:"concurrency"`
	State         string  `json:"state"`
	ColdRemaining float64 `json:"cold_remaining_ms"`
	Sequence      int     `json:"sequence"`
	Born          int64   `json:"born"`
}

// routeBody, serviceBody and configBody are the parts of a configuration.
type routeBody struct {
	Name          string `json:"name"`
	Host          string `json:"host"`
	PathPrefix    string `json:"path_prefix"`
	Type          string `json:"type"`
	TimeoutMS     int    `json:"timeout_ms"`
	TargetLatency int    `json:"target_latency_ms"`
	Priority      int    `json:"priority"`
	Service       string `json:"service"`
	MaxAttempts   int    `json:"max_attempts"`
}

type serviceBody struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"health_path"`
	MaxConnections int     `json:"max_connections"`
	Protocol       string  `json:"protocol"`
	TLS            bool    `json:"tls"`
	ColdStart      float64 `json:"cold_start_s"`
	ColdRate       float64 `json:"cold_per_s"`
}

type configBody struct {
	Version  int            `json:"version"`
	Routes   []routeBody    `json:"routes"`
	Services []serviceBody  `json:"services"`
	Limits   map[string]int `json:"limits"`
}
