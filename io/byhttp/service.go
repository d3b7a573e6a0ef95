package byhttp

import (
	"io"
	"net/http"
	"time"

	"burdockyard"
	"burdockyard/core/byserve"
	"burdockyard/io/bywire"
)

// service forwards a call to a plain service and returns its response.
func (h *Handler) service(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	caller, ctx, cancel, err := h.identify(r)
	if err != nil {
		h.writeError(w, r, err)
		return
	}
	defer cancel()
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, bywire.MaxBodyBytes))
	if err != nil {
		h.writeError(w, r, invalidRequest("the body could not be read: "+err.Error()))
		return
	}
	resp, err := h.config.Server.CallService(ctx, byserve.ServiceCall{
		Tenant: caller.tenant, Service: r.PathValue("service"), Request: serviceRequest(r, body),
	})
	if err != nil {
		h.writeError(w, r, err)
		return
	}
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.Status)
	_, _ = w.Write(resp.Body) // fails only if the caller has disconnected
	h.config.Metrics.ResponseTime(caller.tenant, caller.class.Name).Update(time.Since(start).Seconds())
}

func serviceRequest(r *http.Request, body []byte) burdockyard.ServiceRequest {
	path := "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	header := map[string][]string{}
	if ct := r.Header.Values("Content-Type"); len(ct) > 0 {
		header["Content-Type"] = ct
	}
	return burdockyard.ServiceRequest{
		ID: requestID(r), Method: r.Method, Path: path, Header: header, Body: body, IdempotencyKey: r.Header.Get(bywire.HeaderIdempotencyKey),
	}
}
