package callers

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	minWork       = 100 * time.Microsecond
	maxWorkFactor = 20 // multiple of the class's mean work
)

// drawWork draws from a log-normal distribution with the class's mean and coefficient of variation. The result is at least minWork
// and at most maxWorkFactor times the mean. Without variation it is the mean itself.
func drawWork(rng *rand.Rand, class Class) time.Duration {
	if class.CV == 0 {
		return class.Work
	}
	variance := math.Log(1 + class.CV*class.CV)
	factor := math.Exp(math.Sqrt(variance)*rng.NormFloat64() - variance/2)
	return max(minWork, time.Duration(float64(class.Work)*min(factor, maxWorkFactor)))
}

// cumulative returns the running sums of shares, scaled to end at 1.
func cumulative[T any](of []T, share func(T) float64) []float64 {
	sum := 0.0
	sums := make([]float64, len(of))
	for i, x := range of {
		sum += share(x)
		sums[i] = sum
	}
	for i := range sums {
		sums[i] /= sum
	}
	return sums
}

// cumulativeZipf returns the cumulative probabilities of n keys with a Zipf distribution.
func cumulativeZipf(n int, exponent float64) []float64 {
	popularity := make([]float64, n)
	for i := range popularity {
		popularity[i] = math.Pow(float64(i+1), -exponent)
	}
	return cumulative(popularity, func(x float64) float64 { return x })
}

// choose draws an index according to cumulative shares.
func choose(rng *rand.Rand, cumulative []float64) int {
	i, _ := slices.BinarySearch(cumulative, rng.Float64())
	return min(i, len(cumulative)-1)
}

// splitmix64 is one step of the SplitMix64 generator: a bijection whose results do not reveal the order of its arguments.
func splitmix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
