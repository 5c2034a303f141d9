package operator

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/firlever/firlever/internal/docstore"
)

const (
	gatherConcurrency = 16
	gatherTimeout     = 2 * time.Second // per instance
)

// Gather returns the Fleet function of a Config. The function requests the status of each
// instance of list on its operators' address, with the token of the operator's own request,
// and each instance checks that token itself. The reports are sorted by instance.
func Gather(list func(ctx context.Context) []docstore.Instance) func(ctx context.Context) []Report {
	return func(ctx context.Context) []Report {
		instances := slices.Clone(list(ctx))
		slices.SortFunc(instances, func(a, b docstore.Instance) int { return strings.Compare(a.ID, b.ID) })
		reports := make([]Report, len(instances))
		slots := make(chan struct{}, gatherConcurrency)
		var group sync.WaitGroup
		for i, in := range instances {
			slots <- struct{}{}
			group.Go(func() {
				reports[i] = queryStatus(ctx, in)
				<-slots
			})
		}
		group.Wait()
		return reports
	}
}

func queryStatus(ctx context.Context, instance docstore.Instance) Report {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	client := NewClient(instance.OperatorsAddress, bearerFrom(ctx))
	defer client.Close()
	report := Report{Instance: instance.ID, Address: instance.OperatorsAddress}
	status, err := client.Status(ctx)
	if err != nil {
		report.Error = err.Error()
		return report
	}
	report.Status = &status
	return report
}
