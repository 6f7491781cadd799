package measurer

import "testing"

func TestMeasure(t *testing.T) { runAll(t) }
