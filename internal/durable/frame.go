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

// All data is written in frames: the magic, the length of the payload, a sequence number that never decreases, the CRC32C of
// these three and of the payload, and the payload. Integers are little-endian.
//
//	4 bytes magic | 4 bytes length | 8 bytes sequence number | 4 bytes CRC32C | payload
const (
	frameHeaderBytes = 20
	// Version is the version of the format. Files of a newer version are neither read nor changed.
	Version = 1
)

var (
	snapshotMagic = [4]byte{'M', 'B', 'X', '0' + Version}
	segmentMagic  = [4]byte{'M', 'T', 'H', '0' + Version} // of the header of a log segment
	recordMagic   = [4]byte{'M', 'T', 'R', '0' + Version}
	castagnoli    = crc32.MakeTable(crc32.Castagnoli)
)

// Errors of readFrame and readFile.
var (
	errShort    = errors.New("cut short")
	errMagic    = errors.New("unknown format")
	errNewer    = errors.New("written by a newer version")
	errChecksum = errors.New("wrong checksum")
	errLength   = errors.New("longer than the maximum")
)

// appendFrame appends a frame to b.
func appendFrame(b []byte, magic [4]byte, sequence uint64, payload []byte) []byte {
	start := len(b)
	b = append(b, magic[:]...)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint64(b, sequence)
	b = binary.LittleEndian.AppendUint32(b, checksum(b[start:], payload))
	return append(b, payload...)
}

func checksum(header, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(header, castagnoli), castagnoli, payload)
}

// readFrame decodes the frame at the start of b, which is size bytes long. The payload is a subslice of b.
func readFrame(b []byte, magic [4]byte, maxBytes int) (sequence uint64, payload []byte, size int, err error) {
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

// Corruption describes a part of a file whose content is not what was written.
type Corruption struct {
	File string
	At   int64 // offset of its first byte in the file
	Err  error
	Torn bool // a crash cut the write short before it was confirmed: no confirmed data is lost
}

func (c Corruption) String() string {
	if c.Torn {
		return fmt.Sprintf("%s: byte %d: torn write, nothing confirmed is lost: %v", c.File, c.At, c.Err)
	}
	return fmt.Sprintf("%s: byte %d: %v", c.File, c.At, c.Err)
}

// readFile reads a file, and fails with errLength if it is larger than maxBytes.
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

// writeNew creates a file with this content and replaces any file of the same name. With sync, the content is durable when
// writeNew returns; the name becomes durable with FS.Sync.
func writeNew(f FS, name string, text []byte, sync bool) (err error) {
	if err := f.Remove(name); err != nil { // a crash may have left a file of this name
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
	if err == nil && sync {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		_ = f.Remove(name) // if that fails too, the next write removes it
	}
	return err
}

// missing reports whether an error says that a file does not exist.
func missing(err error) bool { return errors.Is(err, fs.ErrNotExist) }
