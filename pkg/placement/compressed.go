package placement

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

// maxDecompressedBytes bounds the decompressed size of a document that a peer sends.
const maxDecompressedBytes = 64 << 20

// EncodeCompressed encodes and compresses a document to send it to other daemons. Routes
// resemble each other, so a document with many routes compresses well and occupies a slow
// link for a much shorter time.
func (d *Document) EncodeCompressed() ([]byte, error) {
	data, err := d.Encode()
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress placement")
	}
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress placement")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress placement")
	}
	return out.Bytes(), nil
}

// DecodeCompressed decodes a document encoded by EncodeCompressed. It returns an error if
// the document is too large or its hash differs from want.
func DecodeCompressed(compressed []byte, want string) (*Document, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxDecompressedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress placement")
	}
	if len(data) > maxDecompressedBytes {
		return nil, errors.Errorf("the decompressed placement is larger than %d bytes", maxDecompressedBytes)
	}
	return Decode(data, want)
}
