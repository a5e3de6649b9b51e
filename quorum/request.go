package quorum

import "github.com/boragewick/boragewick"

// maxCommandBytes is the size limit of one command.
const maxCommandBytes = 4 << 20

// requestKind is the operation that a caller requests from the loop.
type requestKind uint8

const (
	requestPropose requestKind = iota + 1
	requestBarrier
	requestAdd
	requestPromote
	requestDemote
	requestRemove
)

// request is a caller's request to the loop. The reply is sent at most once.
type request struct {
	kind    requestKind
	command []byte
	member  boragewick.Member
	reply   chan reply
}

// reply is the outcome of a request.
type reply struct {
	result []byte
	err    error
}

// answer sends the reply. It does not block, as the channel has room for it.
func (r *request) answer(result []byte, err error) {
	r.reply <- reply{result, err}
}

// pendingProposal is a request whose entry was appended in the term and has not
// been applied.
type pendingProposal struct {
	*request
	term uint64
}

// pendingRead is a barrier. Once granted, it waits until the index is applied.
type pendingRead struct {
	*request
	granted bool
	index   uint64
}
