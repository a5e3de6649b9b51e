package core

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/registry"
)

// oneModelDecoder decodes any document as a table with the model "served".
type oneModelDecoder struct{}

func (oneModelDecoder) DecodeTable([]byte) (*boragewick.RoutingTable, error) {
	return &boragewick.RoutingTable{Pools: []boragewick.PoolRule{{Name: "p", Engine: &boragewick.EngineRule{Models: []string{"served"}}}}}, nil
}

// TestNamedModelsAreBounded guards against namings of models that nobody serves, which
// fill the log's state and each update, and keep those of served models out.
func TestNamedModelsAreBounded(t *testing.T) {
	c := &Core{Registry: &registry.Registry{}, Decoder: oneModelDecoder{}}
	name := func(model string) error {
		if err := c.checkModel(model); err != nil {
			return err
		}
		b, err := boragewick.Encode(boragewick.RegistryCommand{Weights: &boragewick.NamedWeights{Model: model, Version: 2}})
		if err != nil {
			t.Fatal(err)
		}
		c.Registry.Apply(boragewick.Entry{Command: b})
		return nil
	}
	refused := 0
	for i := range 3 * maxNamedModels {
		if err := name(fmt.Sprint("other-", i)); errors.Is(err, boragewick.ErrTooLarge) {
			refused++
		} else if err != nil {
			t.Fatal(err)
		}
	}
	if refused != 2*maxNamedModels {
		t.Errorf("%d namings refused", refused)
	}
	if err := name("served"); err != nil {
		t.Errorf("a model of the configuration: %v", err)
	}
	if err := name("other-0"); err != nil {
		t.Errorf("a model whose weights were named before: %v", err)
	}
}
