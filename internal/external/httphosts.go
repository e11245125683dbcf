package external

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// maxHostList limits the host list, in bytes.
const maxHostList = 8 << 20

// HTTPHosts reads the platform's host list over HTTP.
type HTTPHosts struct {
	// Base is the service's address, http://IP:port.
	Base   string
	Client *http.Client
}

// List reads the whole list. Entries that can't be read, such as those of another writer, are left out.
func (h *HTTPHosts) List(ctx context.Context) ([]Host, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, h.Base+"/v1/hosts", nil)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	response, err := h.Client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "call host list")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("host list answered %d", response.StatusCode)
	}
	hosts, err := decodeHosts(io.LimitReader(response.Body, maxHostList))
	return hosts, errors.Wrap(err, "read host list")
}

// decodeHosts reads an array of hosts. Each entry is read by its tokens: decoding the array as a whole would
// fail at the first odd entry, and a deeply nested one can't be decoded at all.
func decodeHosts(r io.Reader) ([]Host, error) {
	list := hostList{json.NewDecoder(r)}
	list.UseNumber() // a number may be too large for a float64
	if first, err := list.Token(); err != nil || first != json.Delim('[') {
		return nil, errors.CombineErrors(errors.New("want an array"), err)
	}
	var hosts []Host
	for list.More() {
		host, ok, err := list.entry()
		if err != nil {
			return nil, err
		}
		if ok {
			hosts = append(hosts, host)
		}
	}
	_, err := list.Token() // the end of the array
	return hosts, err
}

// hostList reads the entries of a host list.
type hostList struct {
	*json.Decoder
}

// entry reads one entry. It returns false if that is no host.
func (l hostList) entry() (host Host, ok bool, err error) {
	first, err := l.Token()
	if err != nil {
		return Host{}, false, err
	}
	if first != json.Delim('{') {
		return Host{}, false, l.skip(first)
	}
	ok = true
	for l.More() {
		name, err := l.Token()
		if err != nil {
			return Host{}, false, err
		}
		value, err := l.Token()
		if err != nil {
			return Host{}, false, err
		}
		ok = host.set(name, value) && ok
		if err := l.skip(value); err != nil {
			return Host{}, false, err
		}
	}
	_, err = l.Token() // the end of the object
	return host, ok && host.ID != "", err
}

// skip reads the rest of a value that begins with a token.
func (l hostList) skip(first json.Token) error {
	depth := depthOf(first)
	for depth > 0 {
		next, err := l.Token()
		if err != nil {
			return err
		}
		depth += depthOf(next)
	}
	return nil
}

// depthOf returns by how many levels a token leads deeper.
func depthOf(token json.Token) int {
	switch token {
	case json.Delim('['), json.Delim('{'):
		return 1
	case json.Delim(']'), json.Delim('}'):
		return -1
	}
	return 0
}

// set sets a field. It returns false if the value has another type than the field; fields that aren't known
// are passed over.
func (h *Host) set(name, value json.Token) bool {
	text, isText := value.(string)
	switch name {
	case "id":
		h.ID = text
	case "address":
		h.Address = text
	case "state":
		h.State = HostState(text)
	default:
		return true
	}
	return isText
}
