package once

// VerdictKind says what to do with a request that brings a key.
type VerdictKind uint8

// Kinds of verdict.
const (
	VerdictRun      VerdictKind = iota + 1 // the one who asked must run it now and Finish
	VerdictRunning                         // under way: wait for the outcome or come back
	VerdictAnswered                        // Outcome holds the recorded answer
	VerdictUnknown                         // it may have run; nobody will ever know more
	VerdictExpired                         // past its deadline: never runs from now on; earlier outcome not known
	VerdictForged                          // never issued as it stands: not run
	VerdictForeign                         // another home: forward it there or answer unknown; never run it
	VerdictGone                            // an earlier incarnation of this instance: unknown
	VerdictMismatch                        // the key was used with a different request: this one was not run
	VerdictFull                            // no room for a record: not run
	VerdictClosed                          // the home is leaving and begins nothing new: not run
	verdictKindCount
)

var verdictNames = [verdictKindCount]string{
	"none", "run", "running", "answered", "unknown", "expired", "forged",
	"foreign", "gone", "mismatch", "full", "closed",
}

// String returns a word for logs.
func (k VerdictKind) String() string {
	if k >= verdictKindCount {
		return verdictNames[0]
	}
	return verdictNames[k]
}

// Verdict is Begin's answer.
type Verdict struct {
	Kind      VerdictKind
	Attempt   uint32  // of VerdictRun: to be given to Dispatch, Withdraw and Finish
	RequestID string  // of VerdictRunning, VerdictAnswered, VerdictUnknown: id of the request that ran it
	Outcome   Outcome // of VerdictAnswered
}
