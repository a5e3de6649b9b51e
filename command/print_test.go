package command

import (
	"bytes"
	"strings"
	"testing"

	"github.com/boragewick/boragewick"
)

func TestPrintStatusWithoutLeader(t *testing.T) {
	var w bytes.Buffer
	printStatus(&w, &boragewick.StatusReply{})
	if !strings.Contains(w.String(), "control leader none ") {
		t.Error(w.String())
	}
}
