package hosting

import (
	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/enginerelay"
	"github.com/boragewick/boragewick/enginewatch"
	"github.com/boragewick/boragewick/linkserver"
	"github.com/boragewick/boragewick/ws"
)

// buildAgent sets up the watcher of the engine on the same machine.
func (n *Node) buildAgent() error {
	w := &enginewatch.Watcher{Engine: n.NewProbe(&n.client), Addr: n.Settings.EngineAddr, Logger: n.Logger}
	links := &linkserver.Server{Hello: n.hello, Transport: ws.Transport{InsecureOK: true}, Logger: n.Logger}
	links.Handle(boragewick.MethodEngine, w)
	links.Handle(boragewick.MethodEngines, &enginerelay.Relay{
		Self:     n.Settings.LinkAddr,
		Local:    w.State(),
		Instance: n.Settings.Name,
		Peers:    n.peers,
		Logger:   n.Logger,
	})
	n.kernel.Register("engine", w)
	return n.serveLinks(links)
}
