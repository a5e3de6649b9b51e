package prompt

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

func TestParse(t *testing.T) {
	tests := map[string]struct {
		in   string
		want Prompt
		err  error
	}{
		"chat": {
			in:   `{"model":"m","max_tokens":7,"stream":true,"messages":[{"role":"user","content":"hi"}]}`,
			want: Prompt{Model: "m", MaxTokens: 7, Stream: true, Text: []byte("\xff\xffuser\xff\xff\xff\xffhi\xff")},
		},
		"text parts": {
			in:   `{"messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}]}`,
			want: Prompt{Text: []byte("\xff\xffuser\xff\xff\xff\xffhi\xff")},
		},
		"other parts": {
			in:   `{"messages":[{"role":"user","content":[{"type": "image_url"}]}]}`,
			want: Prompt{Text: []byte("\xff\xffuser\xff\xff\xff\xff{\"type\":\"image_url\"}\xff")},
		},
		"completion": {
			in:   `{"prompt":"a\u0062","max_tokens":1,"max_completion_tokens":2}`,
			want: Prompt{MaxTokens: 2, Text: []byte("\xffab\xff")},
		},
		"token numbers":      {in: `{"prompt":[1, 2]}`, want: Prompt{Text: []byte("\xff1\xff2\xff")}},
		"a string in a list": {in: `{"prompt":["ab", null]}`, want: Prompt{Text: []byte("\xff\"ab\"\xffnull\xff")}},
		"keys of a part": {
			in:   `{"messages":[{"role":"user","content":[{"url": "u", "type": "image_url"}]}]}`,
			want: Prompt{Text: []byte("\xff\xffuser\xff\xff\xff\xff{\"type\":\"image_url\",\"url\":\"u\"}\xff")},
		},
		"text part without text": {in: `{"messages":[{"content":[{"type":"text"}]}]}`, err: boragewick.ErrMalformed},
		"neither":                {in: `{"model":"m"}`, err: boragewick.ErrMalformed},
		"no JSON":                {in: `{`, err: boragewick.ErrMalformed},
		"wrong types":            {in: `{"messages":"x"}`, err: boragewick.ErrMalformed},
		"wrong part type":        {in: `{"messages":[{"content":[{"type":1}]}]}`, err: boragewick.ErrMalformed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p, err := Parse([]byte(tt.in))
			if !errors.Is(err, tt.err) {
				t.Fatalf("error %v, want %v", err, tt.err)
			}
			if err != nil {
				if boragewick.OutcomeOf(err) != boragewick.OutcomeNotRun {
					t.Errorf("error %v is not marked as not run", err)
				}
				return
			}
			if p.Model != tt.want.Model || p.MaxTokens != tt.want.MaxTokens || p.Stream != tt.want.Stream {
				t.Errorf("got %+v, want %+v", p, tt.want)
			}
			if !bytes.Equal(p.Text, tt.want.Text) {
				t.Errorf("text %q, want %q", p.Text, tt.want.Text)
			}
		})
	}
}

func TestBlocksShareExactlyTheCommonPrefix(t *testing.T) {
	base := strings.Repeat("a", 10*blockBytes)
	seed := boragewick.PrefixSeed{Workspace: "w", Model: boragewick.Model{Name: "m", Weights: "1"}}
	modifiedSeed := func(change func(*boragewick.PrefixSeed)) boragewick.PrefixSeed {
		s := seed
		change(&s)
		return s
	}
	tests := map[string]struct {
		text string
		seed boragewick.PrefixSeed
		want int
	}{
		"same":              {base, seed, 10},
		"longer":            {base + base, seed, 10},
		"last byte differs": {base[1:] + "b", seed, 9},
		"first byte":        {"b" + base[1:], seed, 0},
		"workspace":         {base, modifiedSeed(func(s *boragewick.PrefixSeed) { s.Workspace = "v" }), 0},
		"model":             {base, modifiedSeed(func(s *boragewick.PrefixSeed) { s.Model.Name = "n" }), 0},
		"weights":           {base, modifiedSeed(func(s *boragewick.PrefixSeed) { s.Model.Weights = "2" }), 0},
		"adapter":           {base, modifiedSeed(func(s *boragewick.PrefixSeed) { s.Model.Adapter = "x" }), 0},
		"fields shifted":    {base, boragewick.PrefixSeed{Workspace: "wm", Model: boragewick.Model{Weights: "1"}}, 0},
	}
	want := (&Prompt{Text: []byte(base)}).Blocks(seed)
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := (&Prompt{Text: []byte(tt.text)}).Blocks(tt.seed)
			n := 0
			for n < len(got) && n < len(want) && got[n] == want[n] {
				n++
			}
			if n != tt.want {
				t.Errorf("%d blocks in common, want %d", n, tt.want)
			}
		})
	}
}

func TestPartialBlockHasNoHash(t *testing.T) {
	p := Prompt{Text: make([]byte, 2*blockBytes-1)}
	if n := len(p.Blocks(boragewick.PrefixSeed{})); n != 1 {
		t.Errorf("%d blocks, want 1", n)
	}
	if n := p.Tokens(); n != 2*boragewick.BlockTokens {
		t.Errorf("%d tokens, want %d", n, 2*boragewick.BlockTokens)
	}
}

func BenchmarkBlocks32k(b *testing.B) {
	p := Prompt{Text: bytes.Repeat([]byte("hull"), 32<<10)}
	b.ReportAllocs()
	for b.Loop() {
		p.Blocks(boragewick.PrefixSeed{Workspace: "w"})
	}
}

func BenchmarkParse32k(b *testing.B) {
	text, _ := json.Marshal(strings.Repeat("hull lot 12. ", 10<<10))
	in := []byte(`{"model":"m","messages":[{"role":"user","content":` + string(text) + `}]}`)
	b.SetBytes(int64(len(in)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Parse(in); err != nil {
			b.Fatal(err)
		}
	}
}
