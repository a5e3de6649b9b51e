package quorum

import "github.com/boragewick/boragewick"

// maxCommandBytes bounds one command.
const maxCommandBytes = 4 << 20

// requestKind is what a caller wants of the loop.
type requestKind uint8

const (
	requestPropose requestKind = iota + 1
	requestBarrier
	requestAdd
	requestPromote
	requestRemove
)

// request is a caller's request to the loop. The reply is sent at most once.
type request struct {
	kind    requestKind
	command []byte
	member  boragewick.Member
	reply   chan reply
}

// reply answers a request.
type reply struct {
	result []byte
	err    error
}

// answer sends the reply. The channel has room for it.
func (r *request) answer(result []byte, err error) {
	r.reply <- reply{result, err}
}

// waiting is a proposal whose entry was appended in the term.
type waiting struct {
	*request
	term uint64
}

// reading is a barrier; once it is granted it waits for the index.
type reading struct {
	*request
	granted bool
	index   uint64
}
