package caller

import (
	"net/http"

	"github.com/boragewick/boragewick"
)

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// listModels responds with the models that the key's workspace may use.
func (c *Handler) listModels(resp *response, r *http.Request) error {
	workspace, err := c.authenticate(resp, r, func() (*boragewick.Object, error) { return nil, boragewick.ErrUnknownRoute })
	if err != nil {
		return boragewick.NotRun(err)
	}
	list := modelList{Object: "list"}
	for _, model := range c.View.Models(workspace.ID) {
		list.Data = append(list.Data, modelEntry{ID: model, Object: "model", OwnedBy: "boragewick"})
	}
	return resp.json(list)
}
