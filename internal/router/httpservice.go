package router

import (
	"net/http"
	"net/textproto"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/capersaddle/capersaddle/internal/config"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/once"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// hopHeaders are for one connection only and are not passed on (RFC 9110,
// section 7.6.1); the API key is the system's own business.
var hopHeaders = map[string]bool{
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

// serveServiceHTTP answers /v1/services/{service}/*.
func (r *Router) serveServiceHTTP(w http.ResponseWriter, req *http.Request) {
	id := newRequestID()
	w.Header().Set(HeaderRequestID, id)
	who, leave, refusal := r.enter(req)
	if refusal != nil {
		writeError(w, id, refusal)
		return
	}
	defer leave()
	began := time.Now()
	writer := &serviceWriter{w: w}
	err := r.serviceHTTP(w, req, id, who, writer)
	r.done(id, who, began, err)
	if err != nil && writer.begun {
		// A body that just ended would look whole.
		panic(http.ErrAbortHandler)
	}
}

func (r *Router) serviceHTTP(w http.ResponseWriter, req *http.Request, id string, who caller, writer *serviceWriter) error {
	request, refusal := r.readService(w, req, id, who)
	if refusal != nil {
		writeError(w, id, refusal)
		return refusal
	}
	ctx, cancel, refusal := r.bounded(req)
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
	if err != nil && !writer.begun {
		writeError(w, id, fault.From(err))
	}
	if err == nil {
		err = writer.finish(end.end)
	}
	return err
}

func (r *Router) readService(w http.ResponseWriter, req *http.Request, id string, who caller) (serviceRequest, *fault.Error) {
	name := chi.URLParam(req, "service")
	service, ok := who.view.Services[name]
	if !ok {
		return serviceRequest{}, fault.New(fault.UnknownService, fault.NotRun, "service %q does not exist", name)
	}
	path := "/" + chi.URLParam(req, "*")
	key, refusal := readKey(req, service, path)
	if refusal != nil {
		return serviceRequest{}, refusal
	}
	most := r.options.MostBody
	if service.MaxBody > 0 {
		most = min(most, service.MaxBody)
	}
	body, refusal := readBody(w, req, most)
	if refusal != nil {
		return serviceRequest{}, refusal
	}
	if req.URL.RawQuery != "" {
		path += "?" + req.URL.RawQuery
	}
	return serviceRequest{
		id:         id,
		workspace:  who.workspace,
		share:      who.settings.Share,
		deferrable: who.settings.Deferrable,
		slots:      service.SlotCount(),
		work: &wire.ServiceWork{
			Service: name,
			Method:  req.Method,
			Path:    path,
			Headers: passedHeaders(req.Header),
			Body:    body,
			Key:     key,
		},
	}, nil
}

// readKey checks the key of a request that may not be repeated.
func readKey(req *http.Request, service config.Service, path string) (string, *fault.Error) {
	key := req.Header.Get(HeaderKey)
	if key == "" && req.Header.Get(HeaderSettle) != "" {
		return "", fault.New(fault.NeedsKey, fault.NotRun, "%s asks about a key; send it as %s", HeaderSettle, HeaderKey)
	}
	if key == "" {
		if service.NeedsKey(path) {
			return "", fault.New(fault.NeedsKey, fault.NotRun, "this call may not be repeated; send %s with a UUIDv7", HeaderKey)
		}
		return "", nil
	}
	if _, err := once.ParseKey(key); err != nil {
		return "", fault.New(fault.NeedsKey, fault.NotRun, "%v", err)
	}
	return key, nil
}

func passedHeaders(header http.Header) []*wire.Header {
	var passed []*wire.Header
	for _, name := range sortedKeys(header) {
		canonical := textproto.CanonicalMIMEHeaderKey(name)
		if hopHeaders[canonical] || canonical == HeaderKey {
			continue
		}
		for _, value := range header[name] {
			passed = append(passed, &wire.Header{Name: canonical, Value: value})
		}
	}
	return passed
}

// serviceWriter passes a service's answer on as it comes.
type serviceWriter struct {
	w     http.ResponseWriter
	begun bool
}

func (s *serviceWriter) head(head *wire.Head) error {
	s.begun = true
	for _, h := range head.GetHeaders() {
		if !hopHeaders[textproto.CanonicalMIMEHeaderKey(h.GetName())] {
			s.w.Header().Add(h.GetName(), h.GetValue())
		}
	}
	s.w.Header().Set(HeaderRunState, string(fault.Ran))
	s.w.WriteHeader(int(head.GetStatus()))
	return nil
}

func (s *serviceWriter) data(data *wire.Data) error {
	if _, err := s.w.Write(data.GetBytes()); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

// finish sends the head of an answer that had no body.
func (s *serviceWriter) finish(*wire.End) error {
	return http.NewResponseController(s.w).Flush()
}
