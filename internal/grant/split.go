package grant

// claim is one party's demand on a total.
type claim struct {
	want   int // never below 0
	weight int // over 0
}

// split divides a total by weight. No share exceeds its claim, and what one party
// leaves goes to the others. Single units that remain go to the first ones.
func split(total int, claims []claim) []int {
	shares := make([]int, len(claims))
	for total > 0 {
		weight := 0
		for i, c := range claims {
			if shares[i] < c.want {
				weight += c.weight
			}
		}
		if weight == 0 {
			break
		}
		round := total
		for i, c := range claims {
			if shares[i] >= c.want || total == 0 {
				continue
			}
			n := min(max(round*c.weight/weight, 1), c.want-shares[i], total)
			shares[i] += n
			total -= n
		}
	}
	return shares
}
