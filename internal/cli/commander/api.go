package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/front/administrator"
	"github.com/peridotstage/peridotstage/internal/secret/loader"
	"github.com/peridotstage/peridotstage/internal/setting/parser"
)

// apiTimeout is the timeout of a request to one control instance, after which the request goes to the next instance. It is longer
// than the time that an instance waits for the control log.
const apiTimeout = 8 * time.Second

// Values of the flag --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// apiFlags holds the flags of the commands that call the intent API.
type apiFlags struct {
	app         *app
	addresses   *[]string
	authority   *string
	certificate *string
	key         *string
	number      *uint64
	output      *string
}

func newAPIFlags(a *app) *apiFlags {
	return &apiFlags{
		app: a,
		addresses: a.Flag("api", "Address of the intent API, HOST:PORT; several, repeated or separated by commas, are tried in turn.").
			Envar("PERIDOTSTAGE_API").Strings(),
		authority:   a.Flag("authority", "File with the authority's certificate.").Envar("PERIDOTSTAGE_AUTHORITY").String(),
		certificate: a.Flag("certificate", "File with the operator's certificate.").Envar("PERIDOTSTAGE_CERTIFICATE").String(),
		key:         a.Flag("key", "File with the operator's private key.").Envar("PERIDOTSTAGE_KEY").String(),
		number: a.Flag("number", "Number of this request. To resend a request safely, repeat it with its number; by default "+
			"numbers are taken from the clock.").Uint64(),
		output: a.Flag("output", "Form of the answer: text or json.").Short('o').Default(outputText).Enum(outputText, outputJSON),
	}
}

// addressList returns the addresses of the intent API in the order in which they are tried.
func (f *apiFlags) addressList() ([]string, error) {
	var addresses []string
	for _, list := range *f.addresses {
		for _, address := range strings.Split(list, ",") {
			if address = strings.TrimSpace(address); address != "" {
				addresses = append(addresses, address)
			}
		}
	}
	if len(addresses) == 0 {
		return nil, usageError{errors.New("--api HOST:PORT or PERIDOTSTAGE_API is required")}
	}
	return addresses, nil
}

// getAndPrint sends a GET request for a path and prints the answer.
func getAndPrint[T any](f *apiFlags, path string, text func(w *table, v T)) error {
	_, err := callAndPrint(f, http.MethodGet, path, nil, text)
	return err
}

// callAndPrint sends a request, prints the answer and returns it.
func callAndPrint[T any](f *apiFlags, method, path string, body any, text func(w *table, v T)) (T, error) {
	var v T
	out, err := f.sendToFirst(method, path, body)
	if err != nil {
		return v, err
	}
	if err := json.Unmarshal(out, &v); err != nil {
		return v, eris.Wrap(err, "decode answer")
	}
	if *f.output == outputJSON {
		_, err := f.app.out.Write(out)
		return v, eris.Wrap(err, "print answer")
	}
	t := newTable(f.app.out)
	text(t, v)
	return v, eris.Wrap(t.Flush(), "print answer")
}

// sendToFirst tries the addresses of --api in turn until one answers. A request that changes the configuration has a number, so
// that it takes effect only once even if an instance has applied it without answering.
func (f *apiFlags) sendToFirst(method, path string, body any) ([]byte, error) {
	addresses, err := f.addressList()
	if err != nil {
		return nil, err
	}
	return f.sendTo(addresses, method, path, body)
}

// sendTo tries the given addresses in turn until one answers.
func (f *apiFlags) sendTo(addresses []string, method, path string, body any) ([]byte, error) {
	keys, err := loader.Load(parser.Keys{Authority: *f.authority, Certificate: *f.certificate, PrivateKey: *f.key})
	if err != nil {
		return nil, usageError{fmt.Errorf("--authority, --certificate, --key: %w", err)}
	}
	var encodedBody []byte
	if body != nil {
		if encodedBody, err = json.Marshal(body); err != nil {
			return nil, eris.Wrap(err, "encode request")
		}
	}
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: keys.Client()}, Timeout: apiTimeout}
	defer client.CloseIdleConnections()
	var failures []error
	for _, address := range addresses {
		out, err := sendOnce(client, method, "https://"+address+path, encodedBody)
		var exit exitError
		if err == nil || errors.As(err, &exit) {
			return out, err
		}
		failures = append(failures, fmt.Errorf("%s: %w", address, err))
	}
	return nil, exitError{ExitUnknown, fmt.Errorf("no control instance answered: %w", errors.Join(failures...))}
}

// sendOnce sends a request to one instance. The error is an exitError if the instance has rejected the request; after any other
// error but a usageError the request can succeed at another instance.
func sendOnce(client *http.Client, method, url string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(context.Background(), method, url, bytes.NewReader(body))
	if err != nil {
		return nil, usageError{err}
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return out, nil
	}
	return nil, failureError(resp, out)
}

// failureError returns the error for an unsuccessful answer. It is an exitError unless the answer is undecodable or a server
// error, after which the next instance is tried.
func failureError(resp *http.Response, out []byte) error {
	var f administrator.FailureBody
	if json.Unmarshal(out, &f) != nil || f.Failure == nil {
		return fmt.Errorf("%s: %s", resp.Status, bytes.TrimSpace(out))
	}
	err := fmt.Errorf("%s: %s", f.Failure.Code, f.Failure.Message)
	switch resp.StatusCode {
	case http.StatusServiceUnavailable, http.StatusInternalServerError, http.StatusBadGateway:
		return err
	case http.StatusConflict, http.StatusGone:
		return exitError{ExitConflict, err}
	}
	return exitError{ExitRefused, err}
}

// requestNumber returns the number given by the operator, or the current time in microseconds. Such numbers grow with each
// request, as the window of remembered requests requires, and are exact in JSON decoders that use floating point.
func (f *apiFlags) requestNumber() planner.RequestNumber {
	if *f.number != 0 {
		return planner.RequestNumber(*f.number)
	}
	return planner.RequestNumber(time.Now().UnixMicro())
}

// requestPlan requests the plan of an intent and prints it.
func (f *apiFlags) requestPlan(in planner.Intent) error {
	n := f.requestNumber()
	_, err := callAndPrint(f, http.MethodPost, "/v1/plans", administrator.PlanRequest{Number: n, Intent: in}, printResult)
	return f.withResendHint(n, err)
}

// confirmPlan confirms a plan and prints the result.
func (f *apiFlags) confirmPlan(id uint64) error {
	n := f.requestNumber()
	path := fmt.Sprintf("/v1/plans/%d/confirm", id)
	_, err := callAndPrint(f, http.MethodPost, path, administrator.ConfirmRequest{Number: n}, printResult)
	return f.withResendHint(n, err)
}

// withResendHint adds to the error of a request with an unknown outcome how to resend the request safely.
func (f *apiFlags) withResendHint(n planner.RequestNumber, err error) error {
	var exit exitError
	if errors.As(err, &exit) && exit.code == ExitUnknown {
		return exitError{ExitUnknown, fmt.Errorf("%w\nthe request may have taken effect; resend it with --number %d", err, n)}
	}
	return err
}

// pageFlags holds the flags that select a page of a list.
type pageFlags struct {
	limit *int
	after *string
}

func newPageFlags(cmd *kingpin.CmdClause) pageFlags {
	return pageFlags{
		limit: cmd.Flag("limit", "Number of lines, at most 1000.").Default("100").Int(),
		after: cmd.Flag("after", "Start after this one, as the end of the previous page says.").String(),
	}
}
