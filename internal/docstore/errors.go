package docstore

import "fmt"

// NotFoundError reports that a path has never been written, or is deleted.
type NotFoundError struct{ Path string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("docstore: %s not found", e.Path) }

// ConflictError reports that the path is not at the version that a write expected. It holds
// the entry as it is instead.
type ConflictError struct {
	Path     string
	Expected uint64 // version that the write expected
	Current  Entry
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("docstore: %s is at version %d, not %d", e.Path, e.Current.Version, e.Expected)
}

// UncertainError reports that a write got no answer, so it may have been applied.
type UncertainError struct {
	Path string
	Err  error
}

func (e *UncertainError) Error() string {
	return fmt.Sprintf("docstore: write to %s may have landed: %v", e.Path, e.Err)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Err }

// UnavailableError reports that the platform could not be reached, or did not perform the
// call; nothing was changed.
type UnavailableError struct {
	Call string
	Err  error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("docstore: %s unavailable: %v", e.Call, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// BusyError reports that the platform rejected a call because of its rate limit; nothing
// was changed.
type BusyError struct{ Call string }

func (e *BusyError) Error() string {
	return fmt.Sprintf("docstore: %s rejected by the rate limit", e.Call)
}

// TooLargeError reports that a value is larger than MaxValue.
type TooLargeError struct {
	Path string
	Size int // bytes
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("docstore: value of %s is %d bytes, at most %d", e.Path, e.Size, MaxValue)
}

// InvalidError reports that a call has invalid arguments; nothing was changed.
type InvalidError struct {
	Call   string
	Reason string
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("docstore: invalid %s: %s", e.Call, e.Reason)
}

// FormatError reports that an entry's value does not have the format of a document.
type FormatError struct {
	Path   string
	Reason string
}

func (e *FormatError) Error() string {
	return fmt.Sprintf("docstore: %s is not a valid document: %s", e.Path, e.Reason)
}
