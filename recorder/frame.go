package recorder

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"burdocklink/encoder"
	"burdocklink/replicator"
)

// A frame consists of a magic number, the batch number, the length and checksum of
// the content, and the content. The content is a sequence of records, each of which
// has a kind, a length and data.
const (
	frameMagic        = uint32(0xb0d0c11f)
	magicBytes        = 4
	frameHeaderBytes  = magicBytes + 8 + 4 + 4
	recordHeaderBytes = 1 + 4
	lengthOffset      = magicBytes + 8
	checksumOffset    = lengthOffset + 4
)

// Kinds of records.
const (
	hardStateRecord = byte(1)
	baseRecord      = byte(2)
	resetRecord     = byte(3)
	entryRecord     = byte(4)
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frameChecksum returns a checksum of the content, the offset and the batch number.
// The latter two ensure that bytes left by an older file are never taken for a
// frame.
func frameChecksum(content []byte, offset int64, batch uint64) uint32 {
	var position [16]byte
	binary.LittleEndian.PutUint64(position[:8], uint64(offset))
	binary.LittleEndian.PutUint64(position[8:], batch)
	return crc32.Update(crc32.Checksum(position[:], castagnoli), castagnoli, content)
}

// encodeFrame returns a frame with the content.
func encodeFrame(content []byte, offset int64, batch uint64) []byte {
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+len(content))
	binary.LittleEndian.PutUint32(frame, frameMagic)
	binary.LittleEndian.PutUint64(frame[magicBytes:], batch)
	binary.LittleEndian.PutUint32(frame[lengthOffset:], uint32(len(content)))
	binary.LittleEndian.PutUint32(frame[checksumOffset:], frameChecksum(content, offset, batch))
	return append(frame, content...)
}

// decodeFrame returns the content and batch number of the frame at an offset. It
// returns false if the frame is incomplete or does not match its checksum.
func decodeFrame(data []byte, offset int) (content []byte, batch uint64, ok bool) {
	rest := data[offset:]
	if len(rest) < frameHeaderBytes || binary.LittleEndian.Uint32(rest) != frameMagic {
		return nil, 0, false
	}
	batch = binary.LittleEndian.Uint64(rest[magicBytes:])
	length := int(binary.LittleEndian.Uint32(rest[lengthOffset:]))
	if length > len(rest)-frameHeaderBytes {
		return nil, 0, false
	}
	content = rest[frameHeaderBytes : frameHeaderBytes+length]
	checksum := binary.LittleEndian.Uint32(rest[checksumOffset:])
	return content, batch, checksum == frameChecksum(content, int64(offset), batch)
}

// hasLaterFrame reports whether there is a valid frame of a later batch anywhere
// after an offset.
func hasLaterFrame(data []byte, offset int, batch uint64) bool {
	var magic [magicBytes]byte
	binary.LittleEndian.PutUint32(magic[:], frameMagic)
	for offset++; offset < len(data); offset++ {
		found := bytes.Index(data[offset:], magic[:])
		if found < 0 {
			return false
		}
		offset += found
		if _, later, ok := decodeFrame(data, offset); ok && later > batch {
			return true
		}
	}
	return false
}

// record is a record in a frame's content.
type record struct {
	kind byte
	data []byte
}

func (r *Recorder) addRecord(kind byte, data []byte) {
	r.buffer = append(r.buffer, kind)
	r.buffer = binary.LittleEndian.AppendUint32(r.buffer, uint32(len(data)))
	r.buffer = append(r.buffer, data...)
}

func (r *Recorder) addHardState() error {
	data, err := encoder.EncodeHardState(r.hardState)
	if err != nil {
		return err
	}
	r.addRecord(hardStateRecord, data)
	return nil
}

func (r *Recorder) addBase(reset bool) {
	kind := baseRecord
	if reset {
		kind = resetRecord
	}
	data := binary.LittleEndian.AppendUint64(nil, r.base.index)
	r.addRecord(kind, binary.LittleEndian.AppendUint64(data, r.base.term))
}

func (r *Recorder) addEntry(entry replicator.Entry) error {
	data, err := encoder.EncodeEntry(entry)
	if err != nil {
		return err
	}
	r.addRecord(entryRecord, data)
	return nil
}

// splitRecords splits a frame's content into records. It returns false if the last
// record is incomplete.
func splitRecords(content []byte) ([]record, bool) {
	var records []record
	for len(content) > 0 {
		if len(content) < recordHeaderBytes {
			return nil, false
		}
		length := int(binary.LittleEndian.Uint32(content[1:]))
		if length > len(content)-recordHeaderBytes {
			return nil, false
		}
		end := recordHeaderBytes + length
		records = append(records, record{kind: content[0], data: content[recordHeaderBytes:end]})
		content = content[end:]
	}
	return records, true
}
