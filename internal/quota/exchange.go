package quota

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/peerhttp"
)

// Path is the path under which an instance gives tokens to others.
const Path = "/tokens"

const (
	// askTimeout is how long an answer may take: some round trips between regions, and less than
	// tokenLifetime, after which the tokens of an answer have expired.
	askTimeout = 120 * time.Millisecond
	// silentBackoff is how long a holder that gave no answer is not asked again.
	silentBackoff = 2 * time.Second
	// maxAnswerBytes bounds what is read of an answer.
	maxAnswerBytes = 1 << 10
	// maxWanted bounds the tokens of one request to a holder.
	maxWanted = 1000
)

// Exchange takes tokens for requests, from the ledger or from other instances. As an http.Handler
// it gives tokens to others. It is safe for concurrent use.
type Exchange struct {
	client    *peerhttp.Client
	onFailure func(err error) // reports that a holder could not be asked

	mu          sync.Mutex
	ledger      *Ledger                  // guarded by mu
	inFlight    map[string]chan struct{} // by workspace: closed when the holders have answered; guarded by mu
	silentUntil map[string]time.Time     // by address: holders that gave no answer aren't asked before; guarded by mu
}

// NewExchange returns an exchange for a ledger, which belongs to the exchange from then on.
// Requests to holders are sent from ip; "" lets the system choose.
func NewExchange(ledger *Ledger, ip string, onFailure func(err error)) *Exchange {
	return &Exchange{
		client: peerhttp.New(ip, 2, maxAnswerBytes), onFailure: onFailure, ledger: ledger,
		inFlight: make(map[string]chan struct{}), silentUntil: make(map[string]time.Time),
	}
}

// WithLedger runs change on the ledger, under the lock.
func (x *Exchange) WithLedger(change func(l *Ledger)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	change(x.ledger)
}

// Return returns the token of a request that was refused and never ran.
func (x *Exchange) Return(workspace string) {
	x.WithLedger(func(l *Ledger) { l.Return(boottime.Now(), workspace) })
}

// Take takes a token for a request of a workspace, from another instance if necessary. Requests
// that wait for the same holders' answers share them.
func (x *Exchange) Take(ctx context.Context, workspace string) Decision {
	now := boottime.Now()
	x.mu.Lock()
	d := x.ledger.Take(now, workspace)
	x.mu.Unlock()
	if d.Allowed {
		return d
	}
	if len(d.Holders) > 0 {
		x.askOnce(ctx, workspace, d)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	asked := d
	d = x.ledger.Retry(boottime.Now(), workspace)
	d.Holders, d.Want = asked.Holders, asked.Want
	return d
}

// askOnce asks the holders of a quota, or waits for the answers if another request is asking them
// already.
func (x *Exchange) askOnce(ctx context.Context, workspace string, d Decision) {
	x.mu.Lock()
	done, pending := x.inFlight[workspace]
	if !pending {
		done = make(chan struct{})
		x.inFlight[workspace] = done
	}
	x.mu.Unlock()
	if pending {
		select {
		case <-done:
		case <-ctx.Done():
		}
		return
	}
	x.askHolders(workspace, d)
	x.mu.Lock()
	delete(x.inFlight, workspace)
	x.mu.Unlock()
	close(done)
}

// askHolders asks one holder after the other until one gives tokens. It continues when the caller
// disconnects, because other requests may wait for the answers.
func (x *Exchange) askHolders(workspace string, d Decision) {
	for _, m := range d.Holders {
		asked := boottime.Now()
		if x.isSilent(asked, m.Address) {
			continue
		}
		a, err := x.ask(m.Address, workspace, d.Want)
		if err != nil {
			x.markSilent(boottime.Now(), m.Address)
			x.onFailure(err)
			continue
		}
		x.WithLedger(func(l *Ledger) { l.Receive(boottime.Now(), asked, workspace, m, d.Want, a.grant()) })
		if a.Tokens > 0 {
			return
		}
	}
}

func (x *Exchange) isSilent(now time.Time, address string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return now.Before(x.silentUntil[address])
}

func (x *Exchange) markSilent(now time.Time, address string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	maps.DeleteFunc(x.silentUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	x.silentUntil[address] = now.Add(silentBackoff)
}

// answer is a holder's answer.
type answer struct {
	Tokens       int     `json:"tokens"`
	Rate         float64 `json:"rate"`  // tokens per second that it lends
	MaxStock     float64 `json:"most"`  // capacity that goes with the rate, in tokens
	RetryAfterMs int64   `json:"again"` // milliseconds until it has more
}

func (a answer) grant() Grant {
	return Grant{Tokens: a.Tokens, Rate: a.Rate, MaxStock: a.MaxStock, RetryAfter: time.Duration(a.RetryAfterMs) * time.Millisecond}
}

// fitsWant reports whether an answer gives no more than was requested.
func (a answer) fitsWant(want Want) bool {
	return a.Tokens >= 0 && a.Tokens <= want.Tokens && a.Rate >= 0 && a.Rate <= want.Rate && a.MaxStock >= 0 && a.RetryAfterMs >= 0
}

// ask requests tokens from a holder. It returns a *peerhttp.Error.
func (x *Exchange) ask(address, workspace string, want Want) (answer, error) {
	want.Tokens = min(want.Tokens, maxWanted)
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	query := url.Values{"workspace": {workspace}, "tokens": {strconv.Itoa(want.Tokens)}, "rate": {strconv.FormatFloat(want.Rate, 'g', -1, 64)}}
	b, err := x.client.Post(ctx, address, Path, query, nil)
	if err != nil {
		return answer{}, err
	}
	var a answer
	if err := json.Unmarshal(b, &a); err != nil || !a.fitsWant(want) {
		return answer{}, errors.Trace(&peerhttp.Error{Address: address, Status: http.StatusOK, Err: err})
	}
	return a, nil
}

// ServeHTTP gives tokens to another instance.
func (x *Exchange) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	tokens, err := strconv.Atoi(query.Get("tokens"))
	rate, fault := strconv.ParseFloat(query.Get("rate"), 64)
	if err != nil || fault != nil || tokens < 1 || tokens > maxWanted || !(rate >= 0) {
		http.Error(w, "tokens or rate is not a valid number", http.StatusBadRequest)
		return
	}
	x.mu.Lock()
	g := x.ledger.Give(boottime.Now(), query.Get("workspace"), Want{Tokens: tokens, Rate: rate})
	x.mu.Unlock()
	b, err := json.Marshal(answer{Tokens: g.Tokens, Rate: g.Rate, MaxStock: g.MaxStock, RetryAfterMs: g.RetryAfter.Milliseconds()})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(b) // an error means that the peer has disconnected
}
