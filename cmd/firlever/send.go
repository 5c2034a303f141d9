package main

import (
	"context"
	"crypto/rand"
	"errors"

	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/operator"
	"github.com/firlever/firlever/pkg/settings"
)

// send makes a change, and sends it once more under the same name when the
// first answer doesn't prove what became of it.
func send(ctx context.Context, client *operator.Client, doc settings.Document) (operator.Change, error) {
	write := rand.Text()
	change, err := client.Put(ctx, doc, write, true)
	if !proved(err) {
		change, err = client.Put(ctx, doc, write, false)
		if !provedAgain(err) {
			change = operator.Change{Path: doc.Path, Write: write, Outcome: docstore.Unknown.String(), Reason: err.Error()}
			err = nil
		}
	}
	if err == nil && change.Outcome == docstore.Unknown.String() {
		err = &unknownError{Change: change}
	}
	return change, err
}

// proved says whether the first try of a change has its answer, or was never sent.
func proved(err error) bool {
	var problem *operator.Problem
	var unreachable *operator.UnreachableError
	if errors.As(err, &unreachable) {
		return !unreachable.Sent
	}
	return err == nil || errors.As(err, &problem)
}

// provedAgain is like proved for a second try: a refusal of that one alone says
// nothing about the first.
func provedAgain(err error) bool {
	var problem *operator.Problem
	return err == nil || errors.As(err, &problem) && problem.Outcome == docstore.Refused.String()
}
