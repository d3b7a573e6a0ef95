package byentry

import (
	"crypto/sha256"
	"encoding/binary"
	"net"
	"strings"

	"burdockyard"
)

// credentialHeaders are the headers by which callers identify themselves to endpoints.
var credentialHeaders = []string{"Authorization", "Cookie", headerKey}

// headerKey holds a caller's key. Endpoints do not get it where this system checks keys.
const headerKey = "X-Api-Key"

// requestHash returns a hash of what an endpoint gets in each attempt of the same request
// by the same caller: method, host, path with query, credentials or workspace, prompt and
// body. It does not cover headers that differ between attempts. A caller cannot construct a request with
// the hash of another one.
func requestHash(c *call) uint64 {
	h := sha256.New()
	write := func(field string) {
		// The length keeps the end of one field apart from the beginning of the next.
		h.Write(binary.AppendUvarint(nil, uint64(len(field))))
		h.Write([]byte(field))
	}
	write(c.r.Method)
	write(c.r.Host)
	write(c.path)
	for _, name := range credentialHeaders {
		value := strings.Join(c.r.Header[name], "\n")
		if name == headerKey && c.checksKeys {
			value = c.workspaceName()
		}
		write(value)
	}
	if p := c.info.Prompt; p != nil {
		write("prompt")
		write(p.Model)
		writePrompt(write, p)
	} else {
		write("no prompt")
	}
	h.Write(c.body)
	return binary.BigEndian.Uint64(h.Sum(nil))
}

// writePrompt writes the parts of a prompt.
func writePrompt(write func(string), p *burdockyard.Prompt) {
	b := binary.AppendUvarint(nil, uint64(p.InputTokens))
	for _, part := range p.Parts {
		b = binary.AppendUvarint(binary.BigEndian.AppendUint64(b, part.ID), uint64(part.Tokens))
	}
	write(string(b))
}

// callerAddr returns the IP address that the request came from.
func (c *call) callerAddr() string {
	host, _, err := net.SplitHostPort(c.r.RemoteAddr)
	if err != nil {
		return c.r.RemoteAddr
	}
	return host
}
