package main

import (
	"context"
	"crypto/rand"
	"errors"

	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/operator"
	"github.com/firlever/firlever/pkg/settings"
)

// putWithRetry makes a change, and sends it once more under the same name when the
// first answer doesn't prove what became of it.
func putWithRetry(ctx context.Context, client *operator.Client, doc settings.Document) (operator.Change, error) {
	writeID := rand.Text()
	change, err := client.Put(ctx, doc, writeID, true)
	if !isConclusive(err) {
		change, err = client.Put(ctx, doc, writeID, false)
		if !isRetryConclusive(err) {
			change = operator.Change{Path: doc.Path, Write: writeID, Outcome: docstore.Unknown.String(), Reason: err.Error()}
			err = nil
		}
	}
	if err == nil && change.Outcome == docstore.Unknown.String() {
		err = &unknownOutcomeError{Change: change}
	}
	return change, err
}

// isConclusive says whether the first try of a change has its answer, or was never sent.
func isConclusive(err error) bool {
	var problem *operator.Problem
	var unreachable *operator.UnreachableError
	if errors.As(err, &unreachable) {
		return !unreachable.Sent
	}
	return err == nil || errors.As(err, &problem)
}

// isRetryConclusive is like proved for a second try: a refusal of that one alone says
// nothing about the first.
func isRetryConclusive(err error) bool {
	var problem *operator.Problem
	return err == nil || errors.As(err, &problem) && problem.Outcome == docstore.Refused.String()
}
