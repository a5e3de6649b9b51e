package hosting

import (
	"net/http"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/enginewatch"
	"github.com/boragewick/boragewick/httpserver"
	"github.com/boragewick/boragewick/linkserver"
	"github.com/boragewick/boragewick/ws"
)

// buildAgent prepares what watches the engine on the same machine.
func (n *Node) buildAgent() error {
	w := &enginewatch.Watcher{Engine: n.Probe(&n.client), Addr: n.Settings.EngineAddr, Logger: n.Logger}
	links := &linkserver.Server{Hello: n.hello, Transport: ws.Transport{InsecureOK: true}, Logger: n.Logger}
	links.Handle(boragewick.MethodEngine, w)
	mux := http.NewServeMux()
	mux.Handle(ws.Path, links)
	n.kernel.Register("engine", w)
	return n.serve("links", n.Settings.Links, &httpserver.Server{Handler: mux, NoReadTimeout: true})
}
