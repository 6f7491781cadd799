package commander

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/front/administrator"
	"github.com/peridotstage/peridotstage/internal/secret/loader"
	"github.com/peridotstage/peridotstage/internal/setting/parser"
)

const apiTimeout = 10 * time.Second

// apiFlags say how to reach the intent API.
type apiFlags struct {
	app         *app
	address     *string
	authority   *string
	certificate *string
	key         *string
	number      *uint64
}

func newAPIFlags(a *app) *apiFlags {
	return &apiFlags{
		app:         a,
		address:     a.Flag("api", "Address of the intent API, HOST:PORT.").Envar("PERIDOTSTAGE_API").String(),
		authority:   a.Flag("authority", "File with the authority's certificate.").Envar("PERIDOTSTAGE_AUTHORITY").String(),
		certificate: a.Flag("certificate", "File with the operator's certificate.").Envar("PERIDOTSTAGE_CERTIFICATE").String(),
		key:         a.Flag("key", "File with the operator's private key.").Envar("PERIDOTSTAGE_KEY").String(),
		number:      a.Flag("number", "Number of this request; repeat it to resend the same request.").Uint64(),
	}
}

// call sends one request and prints the answer.
func (f *apiFlags) call(method, path string, body any) error {
	keys, err := loader.Load(parser.Keys{Authority: *f.authority, Certificate: *f.certificate, PrivateKey: *f.key})
	if err != nil {
		return usageError{err}
	}
	var in io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return eris.Wrap(err, "encode request")
		}
		in = bytes.NewReader(b)
	}
	req, err := http.NewRequest(method, "https://"+*f.address+path, in)
	if err != nil {
		return usageError{err}
	}
	c := http.Client{Transport: &http.Transport{TLSClientConfig: keys.Client()}, Timeout: apiTimeout}
	resp, err := c.Do(req)
	if err != nil {
		return eris.Wrap(err, "call intent API")
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	if err != nil {
		return eris.Wrap(err, "read answer")
	}
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("%s: %s", resp.Status, bytes.TrimSpace(out))
	}
	_, err = f.app.out.Write(out)
	return eris.Wrap(err, "print answer")
}

// requestNumber returns the number given by the operator, or a random one.
func (f *apiFlags) requestNumber() (planner.RequestNumber, error) {
	if *f.number != 0 {
		return planner.RequestNumber(*f.number), nil
	}
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, eris.Wrap(err, "draw request number")
	}
	return planner.RequestNumber(binary.BigEndian.Uint64(b[:]) >> 11), nil
}

// plan asks for the plan of an intent.
func (f *apiFlags) plan(in planner.Intent) error {
	n, err := f.requestNumber()
	if err != nil {
		return err
	}
	return f.call(http.MethodPost, "/v1/plans", administrator.PlanRequest{Number: n, Intent: in})
}

// confirm confirms a plan.
func (f *apiFlags) confirm(id uint64) error {
	n, err := f.requestNumber()
	if err != nil {
		return err
	}
	return f.call(http.MethodPost, fmt.Sprintf("/v1/plans/%d/confirm", id), administrator.ConfirmRequest{Number: n})
}
