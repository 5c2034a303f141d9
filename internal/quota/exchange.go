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

// Path is where an instance gives tokens to others.
const Path = "/tokens"

const (
	// askTime is how long an answer may take: some round trips between regions, and less
	// than loanTime, after which what it gives is lost.
	askTime = 120 * time.Millisecond
	// silentTime is how long a holder that gave no answer is not asked again.
	silentTime = 2 * time.Second
	// maxAnswer bounds what is read of an answer, in bytes.
	maxAnswer = 1 << 10
	// mostWanted bounds the tokens of one question.
	mostWanted = 1000
)

// Exchange takes tokens for requests, from the ledger or from other instances, and is
// an http.Handler that gives tokens to others. It is safe for concurrent use.
type Exchange struct {
	client *peerhttp.Client
	failed func(err error) // tells that a holder could not be asked

	mu      sync.Mutex
	ledger  *Ledger                  // guarded by mu
	flights map[string]chan struct{} // by workspace: closed when the holders were asked; guarded by mu
	silent  map[string]time.Time     // by address: holders that gave no answer are not asked before; guarded by mu
}

// NewExchange makes an exchange of a ledger, which is the exchange's from then on.
// Questions come from ip; "" lets the system choose.
func NewExchange(ledger *Ledger, ip string, failed func(err error)) *Exchange {
	return &Exchange{
		client: peerhttp.New(ip, 2, maxAnswer), failed: failed, ledger: ledger,
		flights: make(map[string]chan struct{}), silent: make(map[string]time.Time),
	}
}

// Change changes the ledger.
func (x *Exchange) Change(change func(l *Ledger)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	change(x.ledger)
}

// Return gives back the token of a request that was refused and never ran.
func (x *Exchange) Return(workspace string) {
	x.Change(func(l *Ledger) { l.Return(boottime.Now(), workspace) })
}

// Take takes a token for a request of a workspace, if need be one of another instance.
// Requests that wait for the same holders' answers share them.
func (x *Exchange) Take(ctx context.Context, workspace string) Decision {
	now := boottime.Now()
	x.mu.Lock()
	d := x.ledger.Take(now, workspace)
	x.mu.Unlock()
	if d.Allowed {
		return d
	}
	if len(d.Ask) > 0 {
		x.fly(ctx, workspace, d)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	asked := d
	d = x.ledger.Retry(boottime.Now(), workspace)
	d.Ask, d.Want = asked.Ask, asked.Want
	return d
}

// fly asks the holders of a quota, or waits for the answers to who asks them already.
func (x *Exchange) fly(ctx context.Context, workspace string, d Decision) {
	x.mu.Lock()
	flight, flying := x.flights[workspace]
	if !flying {
		flight = make(chan struct{})
		x.flights[workspace] = flight
	}
	x.mu.Unlock()
	if flying {
		select {
		case <-flight:
		case <-ctx.Done():
		}
		return
	}
	x.askAll(workspace, d)
	x.mu.Lock()
	delete(x.flights, workspace)
	x.mu.Unlock()
	close(flight)
}

// askAll asks one holder after the other until one gives something. It goes on when the
// caller leaves, as others may wait for it.
func (x *Exchange) askAll(workspace string, d Decision) {
	for _, m := range d.Ask {
		asked := boottime.Now()
		if x.isSilent(asked, m.Address) {
			continue
		}
		a, err := x.ask(m.Address, workspace, d.Want)
		if err != nil {
			x.silence(boottime.Now(), m.Address)
			x.failed(err)
			continue
		}
		x.Change(func(l *Ledger) { l.Receive(boottime.Now(), asked, workspace, m, d.Want, a.grant()) })
		if a.Tokens > 0 {
			return
		}
	}
}

func (x *Exchange) isSilent(now time.Time, address string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return now.Before(x.silent[address])
}

func (x *Exchange) silence(now time.Time, address string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	maps.DeleteFunc(x.silent, func(_ string, until time.Time) bool { return !now.Before(until) })
	x.silent[address] = now.Add(silentTime)
}

// answer is what a holder says to who asks it.
type answer struct {
	Tokens int     `json:"tokens"`
	Rate   float64 `json:"rate"`  // tokens a second that it lends
	Most   float64 `json:"most"`  // tokens that may be kept of that rate
	Again  int64   `json:"again"` // milliseconds until it has more
}

func (a answer) grant() Grant {
	return Grant{Tokens: a.Tokens, Rate: a.Rate, Most: a.Most, Again: time.Duration(a.Again) * time.Millisecond}
}

// fits says whether an answer gives no more than was wanted.
func (a answer) fits(want Want) bool {
	return a.Tokens >= 0 && a.Tokens <= want.Tokens && a.Rate >= 0 && a.Rate <= want.Rate && a.Most >= 0 && a.Again >= 0
}

// ask asks a holder for tokens. It returns a *peerhttp.Error.
func (x *Exchange) ask(address, workspace string, want Want) (answer, error) {
	want.Tokens = min(want.Tokens, mostWanted)
	ctx, cancel := context.WithTimeout(context.Background(), askTime)
	defer cancel()
	query := url.Values{"workspace": {workspace}, "tokens": {strconv.Itoa(want.Tokens)}, "rate": {strconv.FormatFloat(want.Rate, 'g', -1, 64)}}
	b, err := x.client.Post(ctx, address, Path, query, nil)
	if err != nil {
		return answer{}, err
	}
	var a answer
	if err := json.Unmarshal(b, &a); err != nil || !a.fits(want) {
		return answer{}, errors.Trace(&peerhttp.Error{Address: address, Status: http.StatusOK, Err: err})
	}
	return a, nil
}

// ServeHTTP gives tokens to another instance.
func (x *Exchange) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	tokens, err := strconv.Atoi(query.Get("tokens"))
	rate, fault := strconv.ParseFloat(query.Get("rate"), 64)
	if err != nil || fault != nil || tokens < 1 || tokens > mostWanted || !(rate >= 0) {
		http.Error(w, "tokens or rate is no number that can be wanted", http.StatusBadRequest)
		return
	}
	x.mu.Lock()
	g := x.ledger.Give(boottime.Now(), query.Get("workspace"), Want{Tokens: tokens, Rate: rate})
	x.mu.Unlock()
	b, err := json.Marshal(answer{Tokens: g.Tokens, Rate: g.Rate, Most: g.Most, Again: g.Again.Milliseconds()})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(b) // a peer that has left notices by itself
}
