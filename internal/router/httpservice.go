package router

import (
	"net/http"
	"net/textproto"

	"github.com/go-chi/chi/v5"

	"github.com/capersaddle/capersaddle/internal/config"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/once"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// hopByHopHeaders belong to one connection and are not forwarded (RFC 9110, section
// 7.6.1). The API key is meant for this system only.
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Authorization":       true,
	"Content-Length":      true,
}

// serveServiceHTTP handles /v1/services/{service}/*.
func (r *Router) serveServiceHTTP(w http.ResponseWriter, req *http.Request) {
	writer := &serviceWriter{w: w}
	r.serveAdmitted(w, req, func(id string, client caller) (headersSent bool, err error) {
		err = r.serviceHTTP(w, req, id, client, writer)
		return writer.headersSent, err
	})
}

func (r *Router) serviceHTTP(w http.ResponseWriter, req *http.Request, id string, client caller, writer *serviceWriter) error {
	request, refusal := r.readService(w, req, id, client)
	if refusal != nil {
		writeError(w, id, refusal)
		return refusal
	}
	ctx, cancel, refusal := r.withTimeout(req)
	if refusal != nil {
		writeError(w, id, refusal)
		return refusal
	}
	defer cancel()
	serve := r.serveService
	if req.Header.Get(HeaderSettle) != "" {
		serve = r.settle
	}
	end, err := serve(ctx, request, writer)
	if err != nil && !writer.headersSent {
		writeError(w, id, fault.From(err))
	}
	if err == nil {
		err = writer.finish(end.end)
	}
	return err
}

func (r *Router) readService(w http.ResponseWriter, req *http.Request, id string, client caller) (serviceRequest, *fault.Error) {
	name := chi.URLParam(req, "service")
	service, ok := client.view.Services[name]
	if !ok {
		return serviceRequest{}, fault.New(fault.UnknownService, fault.NotRun, "service %q does not exist", name)
	}
	path := "/" + chi.URLParam(req, "*")
	key, refusal := readKey(req, service, path)
	if refusal != nil {
		return serviceRequest{}, refusal
	}
	maxBytes := r.options.MaxBodyBytes
	if service.MaxBody > 0 {
		maxBytes = min(maxBytes, service.MaxBody)
	}
	body, refusal := readBody(w, req, maxBytes)
	if refusal != nil {
		return serviceRequest{}, refusal
	}
	if req.URL.RawQuery != "" {
		path += "?" + req.URL.RawQuery
	}
	return serviceRequest{
		id:         id,
		workspace:  client.workspace,
		share:      client.settings.Share,
		deferrable: client.settings.Deferrable,
		slots:      service.SlotCount(),
		work: &wire.ServiceWork{
			Service: name,
			Method:  req.Method,
			Path:    path,
			Headers: forwardedHeaders(req.Header),
			Body:    body,
			Key:     key,
		},
	}, nil
}

// readKey validates the key of a request that must not be repeated.
func readKey(req *http.Request, service config.Service, path string) (string, *fault.Error) {
	key := req.Header.Get(HeaderKey)
	if key == "" && req.Header.Get(HeaderSettle) != "" {
		return "", fault.New(fault.NeedsKey, fault.NotRun, "%s requires a key; send it as %s", HeaderSettle, HeaderKey)
	}
	if key == "" {
		if service.NeedsKey(path) {
			return "", fault.New(fault.NeedsKey, fault.NotRun, "this call must not be repeated; send %s with a UUIDv7", HeaderKey)
		}
		return "", nil
	}
	if _, err := once.ParseKey(key); err != nil {
		return "", fault.New(fault.NeedsKey, fault.NotRun, "%v", err)
	}
	return key, nil
}

func forwardedHeaders(header http.Header) []*wire.Header {
	var passed []*wire.Header
	for _, name := range sortedKeys(header) {
		canonical := textproto.CanonicalMIMEHeaderKey(name)
		if hopByHopHeaders[canonical] || canonical == HeaderKey {
			continue
		}
		for _, value := range header[name] {
			passed = append(passed, &wire.Header{Name: canonical, Value: value})
		}
	}
	return passed
}

// serviceWriter streams a service's answer to the caller. The head waits for the first part of the body: an
// answer that breaks off before that can be replaced by an error.
type serviceWriter struct {
	w http.ResponseWriter
	// waiting is the head that has not been sent; nil if there is none.
	waiting     *wire.Head
	headersSent bool
}

func (s *serviceWriter) head(head *wire.Head) error {
	s.waiting = head
	return nil
}

// writeHeaders sends the head if it is waiting.
func (s *serviceWriter) writeHeaders() {
	if s.waiting == nil {
		return
	}
	for _, h := range s.waiting.GetHeaders() {
		if !hopByHopHeaders[textproto.CanonicalMIMEHeaderKey(h.GetName())] {
			s.w.Header().Add(h.GetName(), h.GetValue())
		}
	}
	s.w.Header().Set(HeaderRunState, string(fault.Ran))
	s.w.WriteHeader(int(s.waiting.GetStatus()))
	s.waiting, s.headersSent = nil, true
}

func (s *serviceWriter) data(data *wire.Data) error {
	s.writeHeaders()
	if _, err := s.w.Write(data.GetBytes()); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

// finish sends the head of an answer without a body.
func (s *serviceWriter) finish(*wire.End) error {
	s.writeHeaders()
	return http.NewResponseController(s.w).Flush()
}
