package main

import (
	"context"
	"crypto/rand"
	"errors"

	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/operator"
	"github.com/firlever/firlever/pkg/settings"
)

// putWithRetry writes a document, and sends the write once more under the same ID if the first
// answer doesn't show its outcome. If the outcome is still unknown, the error is an
// *unknownOutcomeError.
func putWithRetry(ctx context.Context, client *operator.Client, doc settings.Document) (operator.Change, error) {
	writeID := rand.Text()
	change, err := client.Put(ctx, doc, writeID, true)
	if !isConclusive(err) {
		change, err = client.Put(ctx, doc, writeID, false)
		if !isRetryConclusive(err) {
			change = operator.Change{Path: doc.Path, WriteID: writeID, Outcome: docstore.Unknown.String(), Reason: err.Error()}
			err = nil
		}
	}
	if err == nil && change.Outcome == docstore.Unknown.String() {
		err = &unknownOutcomeError{Change: change}
	}
	return change, err
}

// isConclusive reports whether the first attempt of a write was answered or never sent.
func isConclusive(err error) bool {
	var problem *operator.Problem
	var unreachable *operator.UnreachableError
	if errors.As(err, &unreachable) {
		return !unreachable.Sent
	}
	return err == nil || errors.As(err, &problem)
}

// isRetryConclusive is like isConclusive for the second attempt. That this attempt was not
// accepted shows nothing about the first, unless the outcome of the write itself is refused.
func isRetryConclusive(err error) bool {
	var problem *operator.Problem
	return err == nil || errors.As(err, &problem) && problem.Outcome == docstore.Refused.String()
}
