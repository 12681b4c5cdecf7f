package durable

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
)

// Everything is written in frames: magic, the length of the payload, a rising sequence number, the CRC32C of all of these
// and the payload, and the payload. Integers are little-endian.
//
//	4 bytes magic | 4 bytes length | 8 bytes number | 4 bytes CRC32C | payload
const (
	frameHeaderBytes = 20
	// Version is that of the format. A file of another version is neither read nor changed.
	Version = 1
)

var (
	snapshotMagic = [4]byte{'M', 'B', 'X', '0' + Version}
	segmentMagic  = [4]byte{'M', 'T', 'H', '0' + Version} // of the head of a log segment
	recordMagic   = [4]byte{'M', 'T', 'R', '0' + Version}
	castagnoli    = crc32.MakeTable(crc32.Castagnoli)
)

// Errors of frames.
var (
	errShort    = errors.New("cut short")
	errMagic    = errors.New("not of this form")
	errNewer    = errors.New("written by a newer version")
	errChecksum = errors.New("wrong checksum")
	errLength   = errors.New("longer than anything that is written")
)

// appendFrame appends a frame to b.
func appendFrame(b []byte, magic [4]byte, number uint64, payload []byte) []byte {
	at := len(b)
	b = append(b, magic[:]...)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint64(b, number)
	b = binary.LittleEndian.AppendUint32(b, checksum(b[at:], payload))
	return append(b, payload...)
}

func checksum(head, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(head, castagnoli), castagnoli, payload)
}

// readFrame decodes the frame at the start of b. The payload is a part of b.
func readFrame(b []byte, magic [4]byte, maxBytes int) (number uint64, payload []byte, size int, err error) {
	if len(b) >= 4 && !bytes.Equal(b[:4], magic[:]) {
		if bytes.Equal(b[:3], magic[:3]) && b[3] > magic[3] && b[3] <= '9' {
			return 0, nil, 0, errNewer
		}
		return 0, nil, 0, errMagic
	}
	if len(b) < frameHeaderBytes {
		return 0, nil, 0, errShort
	}
	length := binary.LittleEndian.Uint32(b[4:])
	if uint64(length) > uint64(maxBytes) {
		return 0, nil, 0, errLength
	}
	size = frameHeaderBytes + int(length)
	if len(b) < size {
		return 0, nil, 0, errShort
	}
	payload = b[frameHeaderBytes:size]
	if checksum(b[:16], payload) != binary.LittleEndian.Uint32(b[16:]) {
		return 0, nil, 0, errChecksum
	}
	return binary.LittleEndian.Uint64(b[8:]), payload, size, nil
}

// Corruption describes a part of a file that is not as it was written.
type Corruption struct {
	File string
	At   int64 // offset of its first byte
	Err  error
	Torn bool // the rest of a write that a crash cut short before it was confirmed: no data is lost
}

func (d Corruption) String() string {
	if d.Torn {
		return fmt.Sprintf("%s: byte %d: torn write, nothing confirmed is lost: %v", d.File, d.At, d.Err)
	}
	return fmt.Sprintf("%s: byte %d: %v", d.File, d.At, d.Err)
}

// readFile reads a file; a file larger than the bound is an error.
func readFile(f FS, name string, maxBytes int) ([]byte, error) {
	file, err := f.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	text, err := io.ReadAll(io.LimitReader(file, int64(maxBytes)+1))
	if err != nil {
		return nil, err
	}
	if len(text) > maxBytes {
		return nil, errLength
	}
	return text, nil
}

// writeNew creates a file with this content, and with sync makes the content durable. Its name becomes durable with
// FS.Sync.
func writeNew(f FS, name string, text []byte, safe bool) (err error) {
	if err := f.Remove(name); err != nil { // left by a crash
		return err
	}
	file, err := f.Create(name)
	if err != nil {
		return err
	}
	n, err := file.Write(text)
	if err == nil && n < len(text) {
		err = io.ErrShortWrite
	}
	if err == nil && safe {
		err = file.Sync()
	}
	if closed := file.Close(); err == nil {
		err = closed
	}
	if err != nil {
		_ = f.Remove(name) // if that fails too, the next write removes it
	}
	return err
}

// missing reports whether an error says that a file does not exist.
func missing(err error) bool { return errors.Is(err, fs.ErrNotExist) }
