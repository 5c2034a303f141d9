package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxObjects is how many objects are counted and planned. Others are placed by hash alone.
const maxObjects = 100_000

// Counts counts the requests for objects that one instance gets.
type Counts struct {
	services map[uint64]map[Object]int // by service; no count is 0
	n        int                       // objects of all services, maxObjects at most
}

// NewCounts returns empty counts.
func NewCounts() *Counts { return &Counts{services: make(map[uint64]map[Object]int)} }

// Add counts a request.
func (c *Counts) Add(service uint64, o Object) {
	objects := c.services[service]
	if objects == nil {
		objects = make(map[Object]int)
		c.services[service] = objects
	}
	if objects[o] == 0 {
		if c.n == maxObjects {
			return
		}
		c.n++
	}
	objects[o]++
}

// Take returns and forgets up to most counts, the greatest first. The others grow until they are
// among the greatest.
func (c *Counts) Take(most int, warm func(service uint64) time.Duration) []ServiceCounts {
	var rows []countRow // the greatest, most at most
	for service, objects := range c.services {
		for o, n := range objects {
			rows = insertRow(rows, countRow{service, Count{o, n}}, most)
		}
	}
	taken := make(map[uint64][]Count)
	for _, r := range rows {
		taken[r.service] = append(taken[r.service], r.Count)
		delete(c.services[r.service], r.Object)
		c.n--
	}
	var list []ServiceCounts
	for _, service := range slices.Sorted(maps.Keys(taken)) {
		list = append(list, ServiceCounts{Service: service, Warm: warm(service), Counts: taken[service]})
	}
	return list
}

// countRow is the count of an object of a service.
type countRow struct {
	service uint64
	Count
}

// insertRow inserts a row into the sorted ones if it is among the greatest. Sorting all would take a
// tenth of a core where there are maxObjects.
func insertRow(rows []countRow, r countRow, most int) []countRow {
	if len(rows) >= most {
		if most == 0 || compareRows(r, rows[most-1]) >= 0 {
			return rows
		}
		rows = rows[:most-1]
	}
	i, _ := slices.BinarySearchFunc(rows, r, compareRows)
	return slices.Insert(rows, i, r)
}

// compareRows orders rows by count, the greatest first.
func compareRows(a, b countRow) int {
	return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Key, b.Key), cmp.Compare(a.service, b.service), compareBinding(a.Object, b.Object))
}

// compareObjects orders objects.
func compareObjects(a, b Object) int {
	return cmp.Or(cmp.Compare(a.Key, b.Key), compareBinding(a, b))
}

func compareBinding(a, b Object) int {
	if a.Near != b.Near {
		if a.Near {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.Regions, b.Regions)
}
