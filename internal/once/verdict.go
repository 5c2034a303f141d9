package once

// VerdictKind is the decision on a request that carries a key.
type VerdictKind uint8

// Kinds of verdict.
const (
	VerdictRun           VerdictKind = iota + 1 // to be run now, and ended by Finish
	VerdictRunning                              // an attempt is running: wait for its outcome or retry later
	VerdictAnswered                             // completed; Outcome holds the recorded answer
	VerdictUnknown                              // may have run; this is final
	VerdictExpired                              // past its deadline: will not run; an earlier outcome is not known
	VerdictForged                               // authentication failed: not run
	VerdictForeign                              // has another home: forward it there or answer unknown; must not run here
	VerdictHomeRestarted                        // issued by an earlier incarnation of this instance, whose records are lost: outcome unknown
	VerdictMismatch                             // the key was used for a different request: this one was not run
	VerdictFull                                 // the table is full: not run
	VerdictClosed                               // the home is stopping and starts no new attempts: not run
	verdictKindCount
)

var verdictNames = [verdictKindCount]string{
	"none", "run", "running", "answered", "unknown", "expired", "forged",
	"foreign", "gone", "mismatch", "full", "closed",
}

// String returns the name used in logs.
func (k VerdictKind) String() string {
	if k >= verdictKindCount {
		return verdictNames[0]
	}
	return verdictNames[k]
}

// Verdict is the result of Begin.
type Verdict struct {
	Kind      VerdictKind
	Attempt   uint32  // for VerdictRun: the argument for Dispatch, Withdraw and Finish
	RequestID string  // for VerdictRunning, VerdictAnswered, VerdictUnknown: ID of the request that runs or ran it
	Outcome   Outcome // for VerdictAnswered
}
