package limiter

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/provider"
)

func TestShape(t *testing.T) {
	tests := []struct {
		name  string
		shape Shape
		raw   string
		ok    bool
	}{
		{"as many elements as allowed", Shape{Elements: 3}, `[1,2,3]`, true},
		{"one element more", Shape{Elements: 3}, `[1,2,3,4]`, false},
		{"one field more", Shape{Elements: 1}, `{"a":1,"b":2}`, false},
		{"one element more inside", Shape{Elements: 2}, `{"a":[[1],[1,2,3]]}`, false},
		{"each list counts by itself", Shape{Elements: 2}, `[[1,2],[1,2]]`, true},
		{"signs in a string", Shape{Elements: 1}, `"a,b,\",c,[,{,"`, true},
		{"inside what is not decoded", Shape{Elements: 1, Depth: 1}, `{"a":[1,2,[3,4]]}`, true},
		{"behind what is not decoded", Shape{Elements: 2, Depth: 1}, `{"a":[1,2,[3,4]],"b":{},"c":1}`, false},
		{"deep", Shape{Elements: 1}, strings.Repeat("[", maxDepth) + strings.Repeat("]", maxDepth), true},
		{"too deep", Shape{Elements: 1}, strings.Repeat("[", maxDepth+1), false},
		{"closed more often than opened", Shape{Elements: 1}, "]]]}},,,", true},
		{"a string without end", Shape{Elements: 1}, `"a\`, true},
		{"empty", Shape{}, "", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.ok, tt.shape.Check([]byte(tt.raw)) == nil)
		})
	}
}

// FuzzShape checks that a list within the bounds is never taken for a larger one, whatever its
// elements are.
func FuzzShape(f *testing.F) {
	f.Add(`a","b`, 3)
	f.Fuzz(func(t *testing.T, s string, n int) {
		n = min(max(n, 1), 100)
		list := make([]any, n)
		for i := range list {
			list[i] = []any{s}
		}
		raw, err := json.Marshal(list)
		require.NoError(t, err)
		require.NoError(t, Shape{Elements: n}.Check(raw))
		if n > 1 {
			require.Error(t, Shape{Elements: n - 1}.Check(raw))
		}
	})
}

// testBodyTimeout bounds the time to read a body in these tests.
const testBodyTimeout = 500 * time.Millisecond

// startBodyServer serves a handler that reads bodies, and returns its pool and address.
func startBodyServer(t *testing.T, maxBytes int64, h func(w http.ResponseWriter, r *http.Request, raw []byte)) (*Pool, string) {
	l, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	cfg := Instance{}.MainConfig(t.Name(), 0, 100)
	p := NewPool(provider.NewDeps(io.Discard), cfg)
	s := NewServer(nil, time.Second)
	s.Handler = newHandler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, err := ReadBody(w, r, maxBytes)
		if err != nil {
			http.Error(w, err.Error(), StatusOf(err))
			return
		}
		h(w, r, raw)
	}), testBodyTimeout)
	go func() { _ = s.Serve(p.Listener(l)) }()
	t.Cleanup(func() { _ = s.Close() })
	return p, l.Addr().String()
}

func TestABodyIsReadUpToItsBound(t *testing.T) {
	_, address := startBodyServer(t, 1000, func(w http.ResponseWriter, _ *http.Request, raw []byte) { _, _ = w.Write(raw) })
	for _, tt := range []struct {
		name   string
		body   io.Reader
		status int
	}{
		{"as large as allowed", strings.NewReader(strings.Repeat("a", 1000)), http.StatusOK},
		{"chunked, as large as allowed", io.MultiReader(strings.NewReader(strings.Repeat("a", 1000))), http.StatusOK},
		{"one byte more", strings.NewReader(strings.Repeat("a", 1001)), http.StatusBadRequest},
		{"chunked, one byte more", io.MultiReader(strings.NewReader(strings.Repeat("a", 1001))), http.StatusBadRequest},
	} {
		t.Run(tt.name, func(t *testing.T) {
			resp, err := http.Post("http://"+address, "text/plain", tt.body)
			require.NoError(t, err)
			defer resp.Body.Close()
			require.Equal(t, tt.status, resp.StatusCode)
		})
	}
}

// TestARequestInProgressOutlastsTheTimeoutOfItsBody guards against a time-out for the body that
// ends the request's context while a job runs.
func TestARequestInProgressOutlastsTheTimeoutOfItsBody(t *testing.T) {
	proceed := make(chan bool)
	_, address := startBodyServer(t, 1000, func(_ http.ResponseWriter, r *http.Request, _ []byte) {
		select {
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-proceed:
		}
	})
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\na")
	require.NoError(t, err)
	time.Sleep(2 * testBodyTimeout)
	close(proceed)
	answer := make([]byte, len("HTTP/1.1 200"))
	_, err = io.ReadFull(c, answer)
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 200", string(answer))
}

func TestABodyThatDoesNotComeIsGivenUp(t *testing.T) {
	_, address := startBodyServer(t, 1000, func(http.ResponseWriter, *http.Request, []byte) {})
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\na")
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(20*testBodyTimeout)))
	answer, err := io.ReadAll(c)
	require.NoError(t, err, "the connection stays open")
	require.Contains(t, string(answer), "HTTP/1.1 400")
}

func TestWhatARequestTakesIsFreedWithItsAnswer(t *testing.T) {
	p, address := startBodyServer(t, 1<<20, func(_ http.ResponseWriter, r *http.Request, _ []byte) { _ = Hold(r, 1<<20) })
	for range 3 {
		resp, err := http.Post("http://"+address, "text/plain", strings.NewReader(strings.Repeat("a", 1<<20)))
		require.NoError(t, err)
		_ = resp.Body.Close()
	}
	require.Eventually(t, func() bool { return p.usage().held <= ConnBytes+readAheadBytes*RequestPrice().HeadByte }, time.Second, time.Millisecond)
	http.DefaultClient.CloseIdleConnections()
	require.Eventually(t, func() bool { return p.usage() == usage{} }, time.Second, time.Millisecond)
}
