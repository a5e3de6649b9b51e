package frame

import (
	"bytes"
	"math"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/boragewick/boragewick"
)

// oddTexts are texts that callers, endpoints or other writers may cause to be sent.
var oddTexts = []string{"", "i-\xff", "\xc3(", "\xf0\x9f\x98", "\xed\xa0\x80", "a\x00b", "i-1\r\nHost: x", "\ufffd", "é", string(make([]byte, 70000))}

// oddAddrs are addresses in all their forms.
var oddAddrs = []netip.AddrPort{
	{},
	netip.MustParseAddrPort("10.0.0.1:65535"), netip.MustParseAddrPort("[::1]:0"), netip.MustParseAddrPort("[fe80::1%eth0]:80"),
	netip.MustParseAddrPort("[::ffff:10.0.0.1]:80"), netip.AddrPortFrom(netip.IPv6Unspecified().WithZone("\xff"), 1), netip.AddrPortFrom(netip.Addr{}, 7),
}

// fill sets v to random values, odd ones among them. Depth bounds the nesting.
func fill(rng *rand.Rand, v reflect.Value, depth int) {
	switch v.Interface().(type) {
	case time.Time:
		v.Set(reflect.ValueOf([]time.Time{{}, time.Unix(0, 1).UTC(), time.Unix(rng.Int64N(1<<33), rng.Int64N(1e9)).UTC()}[rng.IntN(3)]))
		return
	case netip.AddrPort:
		v.Set(reflect.ValueOf(oddAddrs[rng.IntN(len(oddAddrs))]))
		return
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(oddTexts[rng.IntN(len(oddTexts))])
	case reflect.Bool:
		v.SetBool(rng.IntN(2) == 0)
	case reflect.Int, reflect.Int64:
		v.SetInt([]int64{0, -1, math.MinInt64, math.MaxInt64, rng.Int64()}[rng.IntN(5)])
	case reflect.Int8, reflect.Int16, reflect.Int32:
		v.SetInt(int64(int8(rng.Uint32())))
	case reflect.Uint, reflect.Uint64:
		v.SetUint([]uint64{0, 1, math.MaxUint64, rng.Uint64()}[rng.IntN(4)])
	case reflect.Uint8, reflect.Uint16, reflect.Uint32:
		v.SetUint(uint64(uint8(rng.Uint32())))
	case reflect.Float64:
		v.SetFloat([]float64{0, -1, math.MaxFloat64, math.Inf(1), rng.Float64()}[rng.IntN(5)])
	case reflect.Pointer:
		if depth > 0 && rng.IntN(3) > 0 {
			v.Set(reflect.New(v.Type().Elem()))
			fill(rng, v.Elem(), depth-1)
		}
	case reflect.Slice:
		for range rng.IntN(3) {
			e := reflect.New(v.Type().Elem()).Elem()
			fill(rng, e, depth-1)
			v.Set(reflect.Append(v, e))
		}
	case reflect.Map:
		if n := rng.IntN(3); n > 0 {
			v.Set(reflect.MakeMap(v.Type()))
			for range n {
				key, e := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
				fill(rng, key, depth-1)
				fill(rng, e, depth-1)
				v.SetMapIndex(key, e)
			}
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() && f.Tag.Get("cbor") != "-" {
				fill(rng, v.Field(i), depth-1)
			}
		}
	case reflect.Array:
		for i := range v.Len() {
			fill(rng, v.Index(i), depth-1)
		}
	default:
		panic("no values of " + v.Type().String())
	}
}

// TestMessagesRoundTrip guards against messages that can be encoded and not decoded. One
// unreadable text in one entry ended the streams that carried it, and each stream that was
// opened in their place.
func TestMessagesRoundTrip(t *testing.T) {
	messages := map[string]any{
		"watch request":   boragewick.WatchRequest{},
		"watch update":    boragewick.WatchUpdate{},
		"registration":    boragewick.Registration{},
		"directive":       boragewick.Directive{},
		"join":            boragewick.JoinRequest{},
		"publication":     boragewick.Publication{},
		"named weights":   boragewick.NamedWeights{},
		"grant request":   boragewick.GrantRequest{},
		"grant":           boragewick.Grant{},
		"crash report":    boragewick.CrashReport{},
		"origin report":   boragewick.OriginReport{},
		"origin query":    boragewick.OriginQuery{},
		"origin reply":    boragewick.OriginReply{},
		"engine update":   boragewick.EngineUpdate{},
		"engines request": boragewick.EnginesRequest{},
		"engines update":  boragewick.EnginesUpdate{},
		"store request":   boragewick.StoreRequest{},
		"fault":           boragewick.Fault{},
		"hello":           boragewick.Hello{},
		"log command":     boragewick.RegistryCommand{},
		"log state":       boragewick.RegistryState{},
		"name":            "",
	}
	codecs := map[string]struct {
		encode func(v any) ([]byte, error)
		decode func(b []byte, v any) error
	}{
		"link": {func(v any) ([]byte, error) {
			var buf bytes.Buffer
			err := Encode(&buf, v)
			return buf.Bytes(), err
		}, Decode},
		"log": {boragewick.Encode, boragewick.Decode},
	}
	for codecName, codec := range codecs {
		for name, message := range messages {
			t.Run(codecName+" "+name, func(t *testing.T) {
				for seed := range uint64(200) {
					sent := reflect.New(reflect.TypeOf(message))
					fill(rand.New(rand.NewPCG(seed, 0)), sent.Elem(), 8)
					b, err := codec.encode(sent.Interface())
					if err != nil {
						t.Fatalf("seed %d: encode %+v: %v", seed, sent, err)
					}
					got := reflect.New(reflect.TypeOf(message))
					if err := codec.decode(b, got.Interface()); err != nil {
						t.Fatalf("seed %d: decode: %v", seed, err)
					}
					// The encoding of the log is deterministic.
					want, err := boragewick.Encode(sent.Interface())
					if err != nil {
						t.Fatal(err)
					}
					if again, err := boragewick.Encode(got.Interface()); err != nil || !bytes.Equal(again, want) {
						t.Fatalf("seed %d: decoded as another message: %v", seed, err)
					}
				}
			})
		}
	}
}
