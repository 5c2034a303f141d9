package caller_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/firlever/firlever/pkg/caller"
)

// instance simulates a firlever instance.
func instance(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/lookup/payments/lodge-pay" {
		w.Header().Set("Cache-Control", "max-age=5")
		fmt.Fprintf(w, `{"service":"lodge-pay","instances":[{"id":"hob-a.1","address":%q}],"keys":["k1"]}`, r.Host)
		return
	}
	w.Header().Set("Firlever-Request", r.Header.Get("Firlever-Request"))
	w.Header().Set("Firlever-Outcome", "answered")
	fmt.Fprint(w, "lodged")
}

func Example() {
	server := httptest.NewServer(http.HandlerFunc(instance))
	defer server.Close()

	client, err := caller.New(caller.Config{Entries: []string{server.Listener.Addr().String()}})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer client.Close()

	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req := &caller.Request{Method: http.MethodPost, Path: "/fees/31"}
	req.SetBytes([]byte(`{"amount":"12.50"}`))
	resp, err := client.Do(ctx, "payments/lodge-pay", req)

	var notRun *caller.NotRunError
	var unknown *caller.UnknownError
	switch {
	case errors.As(err, &notRun):
		fmt.Println("not run; retry at", notRun.RetryAt)
		return
	case errors.As(err, &unknown):
		fmt.Println("may have run; send again with key", unknown.Key)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	fmt.Println(resp.Status, string(body), err)
	// Output: 200 lodged <nil>
}
