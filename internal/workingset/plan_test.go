package workingset

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

const planTargets, planKeeps = 40, 12

// objectsOf returns hashes and loads of objects that need half of what all targets do.
func objectsOf(n int, skew float64) (hashes []uint64, loads []float64) {
	rng := rand.New(rand.NewPCG(1, uint64(n)))
	sum := 0.0
	for i := range n {
		hashes = append(hashes, rng.Uint64())
		loads = append(loads, math.Pow(float64(i+1), -skew))
		sum += loads[i]
	}
	for i := range loads {
		loads[i] *= planTargets / 2 / sum
	}
	return hashes, loads
}

// placeAll plans and places objects again.
func placeAll(keeps int, hashes []uint64, loads []float64, before Plan, places []Place) (Plan, []Place) {
	var h Heats
	for i, load := range loads {
		h.Add(load, places[i])
	}
	e := Estimate{Keeps: keeps, ColdFactor: 3, Confidence: 1}
	p := MakePlan(Config{}, Service{Estimate: e, Targets: planTargets, Homes: 2, Heats: h}, before)
	next := make([]Place, len(places))
	for i := range next {
		next[i] = p.Place(hashes[i], loads[i], places[i])
	}
	return p, next
}

// What is in use fits twice, or it isn't known what targets keep: nothing is restricted.
func TestNothingRestrictedWhereAllFits(t *testing.T) {
	for name, tt := range map[string]struct {
		keeps, objects int
		skew           float64
	}{
		"fits":         {planKeeps, 220, 0},
		"fits, skewed": {planKeeps, 200, 0.9},
		"not known":    {0, 5000, 0.9},
		"none in use":  {planKeeps, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			hashes, loads := objectsOf(tt.objects, tt.skew)
			p, places := placeAll(tt.keeps, hashes, loads, Plan{}, make([]Place, tt.objects))
			if p.Restricted() {
				t.Errorf("got %+v, want nothing restricted", p)
			}
			for i, got := range places {
				if got != (Place{}) {
					t.Fatalf("object %d: got %+v, want not restricted", i, got)
				}
			}
		})
	}
}

// Homes of objects that are kept warm fit into what targets keep; where not all can be, the hottest
// are.
func TestHomesFit(t *testing.T) {
	for _, fits := range []float64{0.6, 1, 1.5, 4} {
		for _, skew := range []float64{0, 0.9} {
			t.Run(fmt.Sprintf("%g times what fits/skew %g", fits, skew), func(t *testing.T) {
				hashes, loads := objectsOf(int(fits*planTargets*planKeeps), skew)
				p, places := placeAll(planKeeps, hashes, loads, Plan{}, make([]Place, len(hashes)))
				homes, coldest, hottest := 0, math.Inf(1), 0.0
				for i, got := range places {
					if got.Overflow {
						hottest = max(hottest, loads[i])
						continue
					}
					homes += got.Homes
					coldest = min(coldest, loads[i])
				}
				// Hashes decide which of equally hot objects are kept, so that their number varies.
				room := float64(planTargets-p.Overflow()) * planKeeps
				if most := room + 2*math.Sqrt(room); float64(homes) > most {
					t.Errorf("got %d homes, want at most %g", homes, most)
				}
				if hottest > 2.5*coldest {
					t.Errorf("got an object of load %g cold and one of %g warm", hottest, coldest)
				}
				if fits < 0.9 && p.Overflow() > 0 || fits > 1 && p.Overflow() == 0 {
					t.Errorf("got %d overflow targets", p.Overflow())
				}
			})
		}
	}
}

// Instances count loads that differ by a tenth, and loads vary: few objects live elsewhere at
// another instance, or change from one plan to the next.
func TestFewObjectsMove(t *testing.T) {
	for _, fits := range []float64{0.6, 1.5, 4} {
		for _, skew := range []float64{0, 0.9} {
			t.Run(fmt.Sprintf("%g times what fits/skew %g", fits, skew), func(t *testing.T) {
				rng := rand.New(rand.NewPCG(1, 1))
				hashes, loads := objectsOf(int(fits*planTargets*planKeeps), skew)
				vary := func() []float64 {
					varied := make([]float64, len(loads))
					for i := range varied {
						varied[i] = loads[i] * (0.9 + 0.2*rng.Float64())
					}
					return varied
				}
				differing := func(a, b []Place) (n int) {
					for i := range a {
						if a[i].Homes != b[i].Homes || a[i].Overflow != b[i].Overflow {
							n++
						}
					}
					return n
				}
				p, here := placeAll(planKeeps, hashes, vary(), Plan{}, make([]Place, len(hashes)))
				_, there := placeAll(planKeeps, hashes, vary(), Plan{}, make([]Place, len(hashes)))
				if got := differing(here, there); got > len(hashes)/10 {
					t.Errorf("got %d of %d objects placed differently at two instances", got, len(hashes))
				}
				moved := 0
				for range 20 {
					var next []Place
					p, next = placeAll(planKeeps, hashes, vary(), p, here)
					moved += differing(here, next)
					here = next
				}
				if moved > 20*len(hashes)/50 {
					t.Errorf("got %d moves of %d objects in 20 plans, want at most 2%% a plan", moved, len(hashes))
				}
			})
		}
	}
}

// A target's estimate that grows to four times ends the restriction; one that falls begins it.
func TestFollowsEstimate(t *testing.T) {
	hashes, loads := objectsOf(400, 0)
	p, places := placeAll(planKeeps, hashes, loads, Plan{}, make([]Place, 400))
	for _, keeps := range []int{4 * planKeeps, planKeeps, planKeeps / 4} {
		p, places = placeAll(keeps, hashes, loads, p, places)
		if got, want := p.Restricted(), keeps < 4*planKeeps; got != want {
			t.Errorf("%d kept: got restricted %t, want %t", keeps, got, want)
		}
		if got, want := p.Overflow() > 0, keeps < planKeeps; got != want {
			t.Errorf("%d kept: got overflow %t, want %t", keeps, got, want)
		}
	}
}
