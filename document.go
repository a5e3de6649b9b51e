package boragewick

// MethodDocument streams the document of a control replica's newest publication in parts.
const MethodDocument = "document"

// DocumentRequest asks for the document of the newest publication, which must have this or a
// higher version.
type DocumentRequest struct {
	Version uint64 `cbor:"1,keyasint"`
}

// DocumentPart is the next part of a document that is compressed with DEFLATE (RFC 1951).
type DocumentPart struct {
	Version uint64 `cbor:"1,keyasint"`
	// Size is the number of bytes of all parts.
	Size int    `cbor:"2,keyasint"`
	Data []byte `cbor:"3,keyasint"`
}

// DocumentAck asks for the next part. Other messages on the same link wait for one part at
// most.
type DocumentAck struct {
	// Received is the number of bytes received so far.
	Received int `cbor:"1,keyasint"`
}
