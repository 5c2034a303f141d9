package queue

import "github.com/firlever/firlever/pkg/settings"

// Waiting returns how many requests of a service wait, of both classes.
func (q *Queue) Waiting(service settings.ServiceID) int { return q.ahead(service, true) }
