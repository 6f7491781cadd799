package administrator

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"

	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Bounds on the number of items of a page: defaultLimit applies if a request sets no limit.
const (
	defaultLimit = 100
	maxLimit     = 1000
)

// call is one request of an operator.
type call struct {
	writer   http.ResponseWriter
	request  *http.Request
	operator registrar.OperatorName
	status   int
	// current is true if the configuration has every change that was confirmed before the request. Only reads set it.
	current bool
}

// FailureBody is the body of an answer that refuses a request.
type FailureBody struct {
	Failure *planner.Failure `json:"failure"`
}

func (c *call) fail(status int, f *planner.Failure) { c.answer(status, FailureBody{f}) }

func (c *call) ok(v any) { c.answer(http.StatusOK, v) }

func (c *call) answer(status int, v any) {
	c.status = status
	c.writer.Header().Set("Content-Type", "application/json")
	c.writer.WriteHeader(status)
	e := json.NewEncoder(c.writer)
	e.SetIndent("", "  ")
	// A write error only means that the operator has disconnected.
	_ = e.Encode(v)
}

func badRequest(field, value, allowed string) *planner.Failure {
	return &planner.Failure{
		Code: planner.FailureInvalid, Field: field, Value: value, Allowed: allowed,
		Message: fmt.Sprintf("%s %q is not accepted; allowed: %s", field, value, allowed),
	}
}

// body decodes the JSON body into v. On failure it answers with an error and returns false.
func (c *call) body(v any) bool {
	b, err := io.ReadAll(http.MaxBytesReader(c.writer, c.request.Body, maxBody))
	if err != nil {
		c.fail(http.StatusBadRequest, badRequest("body", "", fmt.Sprintf("at most %d bytes", maxBody)))
		return false
	}
	if f := decode(b, v); f != nil {
		c.fail(http.StatusBadRequest, f)
		return false
	}
	return true
}

// decode decodes one JSON value and rejects unknown fields. The failure names the field and what is allowed.
func decode(b []byte, v any) *planner.Failure {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	var wrongType *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch {
	case err == nil:
	case errors.As(err, &wrongType):
		return badRequest(wrongType.Field, wrongType.Value, "a value of type "+wrongType.Type.String())
	case errors.As(err, &syntax), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return badRequest("body", err.Error(), "one JSON object")
	default:
		if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
			return badRequest(strings.Trim(name, `"`), "", "the fields in /v1/openapi.json")
		}
		if f := addressFailure(b); f != nil {
			return f
		}
		return badRequest("body", err.Error(), "the fields in /v1/openapi.json")
	}
	if _, err := d.Token(); err != io.EOF {
		return badRequest("body", "more than one value", "one JSON object")
	}
	return nil
}

// addressFailure returns the failure for the first address or prefix of an intent that cannot be parsed, or nil if all can be.
// The error of the JSON decoder does not name such a field.
func addressFailure(b []byte) *planner.Failure {
	var raw struct {
		Intent struct {
			Service  struct{ Address string }
			Contract struct {
				SourcePrefixes []string `json:"source_prefixes"`
			}
		}
	}
	if json.Unmarshal(b, &raw) != nil {
		return nil
	}
	if a := raw.Intent.Service.Address; a != "" {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return badRequest("intent.service.address", a, "IP:PORT, such as 192.0.2.10:443")
		}
	}
	for i, p := range raw.Intent.Contract.SourcePrefixes {
		if _, err := netip.ParsePrefix(p); err != nil {
			return badRequest(fmt.Sprintf("intent.contract.source_prefixes[%d]", i), p, "a prefix, such as 192.0.2.0/24")
		}
	}
	return nil
}

// limit returns the maximum number of items of a page. On failure it answers with an error and returns false.
func (c *call) limit() (int, bool) {
	s := c.request.URL.Query().Get("limit")
	if s == "" {
		return defaultLimit, true
	}
	n, err := strconv.Atoi(s)
	if err != nil || n < 1 || n > maxLimit {
		c.fail(http.StatusBadRequest, badRequest("limit", s, fmt.Sprintf("1 to %d", maxLimit)))
		return 0, false
	}
	return n, true
}

// afterNumber returns the number after which a page starts. On failure it answers with an error and returns false.
func (c *call) afterNumber() (uint64, bool) {
	s := c.request.URL.Query().Get("after")
	if s == "" {
		return 0, true
	}
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		c.fail(http.StatusBadRequest, badRequest("after", s, "the value of next in the previous page"))
	}
	return n, err == nil
}

// pageRange returns the limit of a page and the number after which it starts. On failure it answers with an error and returns
// false.
func (c *call) pageRange() (limit int, after uint64, ok bool) {
	if limit, ok = c.limit(); !ok {
		return 0, 0, false
	}
	after, ok = c.afterNumber()
	return limit, after, ok
}

// Page is one page of a list.
type Page[T any] struct {
	Items []T `json:"items"`
	// Next is the value of the parameter after for the next page; empty on the last page.
	Next string `json:"next,omitempty"`
}

// page returns the first limit items as a page. The caller passes at least one item more than limit if a next page exists.
func page[T any](items []T, limit int, key func(T) string) Page[T] {
	p := Page[T]{Items: items}
	if len(items) > limit {
		p.Items = items[:limit]
		p.Next = key(items[limit-1])
	}
	if p.Items == nil {
		p.Items = []T{}
	}
	return p
}
