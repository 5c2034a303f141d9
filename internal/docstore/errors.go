package docstore

import "fmt"

// NotFoundError says that a path has never been written, or is deleted.
type NotFoundError struct{ Path string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("docstore: %s not found", e.Path) }

// ConflictError says that a write lost a race; Now is the entry that won.
type ConflictError struct {
	Path string
	Want uint64 // the version that the writer had read
	Now  Entry
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("docstore: %s is at version %d, not %d", e.Path, e.Now.Version, e.Want)
}

// UncertainError says that a write's answer was lost: it may have landed.
type UncertainError struct {
	Path string
	Err  error
}

func (e *UncertainError) Error() string {
	return fmt.Sprintf("docstore: write to %s may have landed: %v", e.Path, e.Err)
}

// Unwrap returns the failure that hid the answer.
func (e *UncertainError) Unwrap() error { return e.Err }

// UnavailableError says that a read got no answer; nothing was changed.
type UnavailableError struct {
	Call string
	Err  error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("docstore: %s unavailable: %v", e.Call, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// BusyError says that the platform refused the call over its rate; nothing was done.
type BusyError struct{ Call string }

func (e *BusyError) Error() string { return fmt.Sprintf("docstore: %s refused over its rate", e.Call) }

// TooLargeError says that a value is over MaxValue.
type TooLargeError struct {
	Path string
	Size int // bytes
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("docstore: value of %s is %d bytes, at most %d", e.Path, e.Size, MaxValue)
}

// InvalidError says that a call can't be made as asked; nothing was done.
type InvalidError struct {
	Call   string
	Reason string
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("docstore: invalid %s: %s", e.Call, e.Reason)
}

// FormatError says that an entry's value is no document of ours.
type FormatError struct {
	Path   string
	Reason string
}

func (e *FormatError) Error() string {
	return fmt.Sprintf("docstore: %s holds no document: %s", e.Path, e.Reason)
}
