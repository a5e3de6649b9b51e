package slopes

import (
	"bytes"
	"math"
	"testing"
)

func TestFit(t *testing.T) {
	tests := map[string]struct {
		sizes, costs   []float64
		each, base, r2 float64
	}{
		"line":  {[]float64{1, 2, 4}, []float64{7, 9, 13}, 2, 5, 1},
		"flat":  {[]float64{1, 2, 4}, []float64{3, 3, 3}, 0, 3, 1},
		"noisy": {[]float64{0, 1, 2}, []float64{0, 2, 1}, 0.5, 0.5, 0.25},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := Slope{Sizes: tt.sizes, Costs: tt.costs}
			s.fit()
			for _, got := range [][2]float64{{s.PerUnit, tt.each}, {s.Intercept, tt.base}, {s.R2, tt.r2}} {
				if math.Abs(got[0]-got[1]) > 1e-9 {
					t.Errorf("got %+v, want %+v", s, tt)
				}
			}
		})
	}
}

// TestMeasure checks that the size of encoded updates grows linearly and that the
// result is written to the table.
func TestMeasure(t *testing.T) {
	list, err := Measure(t.Context(), "wire, endpoints")
	if err != nil {
		t.Fatal(err)
	}
	if len(list) != 1 || list[0].PerUnit < 100 || list[0].PerUnit > 1000 || list[0].R2 < 0.999 {
		t.Fatalf("%+v", list)
	}
	var b bytes.Buffer
	if err := Write(&b, list); err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(b.Bytes(), []byte("| 500, 1000, 2000 ")) {
		t.Error(b.String())
	}
}
