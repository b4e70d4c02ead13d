package fairshare

import "slices"

// threshold returns the largest t with sum(min(rate, t)) <= capacity: the max-min fair share of
// accounts with the given rates, and of others that have the rest in equal parts. It is the highest
// rate if the capacity suffices for all.
func threshold(rates []float64, rest float64, others int, capacity float64) float64 {
	r := slices.Sorted(slices.Values(rates))
	mean := rest / float64(max(others, 1))
	at, _ := slices.BinarySearch(r, mean)
	left := float64(len(r) + others)
	for i := 0; i <= len(r); i++ {
		if i == at && others > 0 {
			if mean*left >= capacity {
				return capacity / left
			}
			capacity -= rest
			left -= float64(others)
		}
		if i == len(r) {
			break
		}
		if r[i]*left >= capacity {
			return capacity / left
		}
		capacity -= r[i]
		left--
	}
	if len(r) == 0 {
		return mean
	}
	return max(r[len(r)-1], mean)
}
