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

// A frame is how anything is written: magic, the length of the payload, a number that rises, the checksum of all of
// these and the payload (CRC32C), and the payload. Numbers are little-endian.
//
//	4 bytes magic | 4 bytes length | 8 bytes number | 4 bytes CRC32C | payload
const (
	frameHead = 20
	// Version is the form's; a file of another one is left as it is, and not read.
	Version = 1
)

var (
	boxMagic    = [4]byte{'M', 'B', 'X', '0' + Version}
	headMagic   = [4]byte{'M', 'T', 'H', '0' + Version} // of a table's segment
	recordMagic = [4]byte{'M', 'T', 'R', '0' + Version}
	castagnoli  = crc32.MakeTable(crc32.Castagnoli)
)

// What is wrong with a frame.
var (
	errShort    = errors.New("cut short")
	errMagic    = errors.New("not of this form")
	errNewer    = errors.New("written by a newer version")
	errChecksum = errors.New("wrong checksum")
	errLength   = errors.New("longer than anything that is written")
)

// appendFrame adds a frame to b.
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

// readFrame reads the frame at the beginning of b. The payload is part of b.
func readFrame(b []byte, magic [4]byte, maxBytes int) (number uint64, payload []byte, size int, err error) {
	if len(b) >= 4 && !bytes.Equal(b[:4], magic[:]) {
		if bytes.Equal(b[:3], magic[:3]) && b[3] > magic[3] && b[3] <= '9' {
			return 0, nil, 0, errNewer
		}
		return 0, nil, 0, errMagic
	}
	if len(b) < frameHead {
		return 0, nil, 0, errShort
	}
	length := binary.LittleEndian.Uint32(b[4:])
	if uint64(length) > uint64(maxBytes) {
		return 0, nil, 0, errLength
	}
	size = frameHead + int(length)
	if len(b) < size {
		return 0, nil, 0, errShort
	}
	payload = b[frameHead:size]
	if checksum(b[:16], payload) != binary.LittleEndian.Uint32(b[16:]) {
		return 0, nil, 0, errChecksum
	}
	return binary.LittleEndian.Uint64(b[8:]), payload, size, nil
}

// Corruption is a part of a file that is not as it was written.
type Corruption struct {
	File string
	At   int64 // the byte at which it begins
	Err  error
	Torn bool // a crash left it of a write that was never confirmed: nothing is lost
}

func (d Corruption) String() string {
	if d.Torn {
		return fmt.Sprintf("%s: byte %d: torn write, nothing confirmed is lost: %v", d.File, d.At, d.Err)
	}
	return fmt.Sprintf("%s: byte %d: %v", d.File, d.At, d.Err)
}

// readFile reads a file of at most so many bytes; more is an error.
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

// writeNew makes a file with this content, and makes the content safe where that is wanted. Its name is not safe yet,
// see FS.Sync.
func writeNew(f FS, name string, text []byte, safe bool) (err error) {
	if err := f.Remove(name); err != nil { // what a crash left
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
		_ = f.Remove(name) // it is unusable; where that fails too, the next write sees to it
	}
	return err
}

// missing tells whether a file is not there.
func missing(err error) bool { return errors.Is(err, fs.ErrNotExist) }
