package recorder

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"burdocklink/encoder"
	"burdocklink/replicator"
)

// A frame is a magic number, the batch's number, the content's length and
// checksum, and the content: records of a kind, a length and bytes.
const (
	frameMagic   = uint32(0xb0d0c11f)
	magicBytes   = 4
	frameHead    = magicBytes + 8 + 4 + 4
	recordHead   = 1 + 4
	lengthOffset = magicBytes + 8
	sumOffset    = lengthOffset + 4
)

// kinds of records.
const (
	hardRecord  = byte(1)
	floorRecord = byte(2)
	resetRecord = byte(3)
	entryRecord = byte(4)
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frameSum covers the place and number as well, so that bytes left by an
// older file never pass for a frame.
func frameSum(content []byte, offset int64, batch uint64) uint32 {
	var place [16]byte
	binary.LittleEndian.PutUint64(place[:8], uint64(offset))
	binary.LittleEndian.PutUint64(place[8:], batch)
	return crc32.Update(crc32.Checksum(place[:], castagnoli), castagnoli, content)
}

// sealFrame puts a head before records.
func sealFrame(content []byte, offset int64, batch uint64) []byte {
	frame := make([]byte, frameHead, frameHead+len(content))
	binary.LittleEndian.PutUint32(frame, frameMagic)
	binary.LittleEndian.PutUint64(frame[magicBytes:], batch)
	binary.LittleEndian.PutUint32(frame[lengthOffset:], uint32(len(content)))
	binary.LittleEndian.PutUint32(frame[sumOffset:], frameSum(content, offset, batch))
	return append(frame, content...)
}

// openFrame reads the frame at an offset. It is false where there is no whole
// and sound one.
func openFrame(data []byte, offset int) (content []byte, batch uint64, ok bool) {
	rest := data[offset:]
	if len(rest) < frameHead || binary.LittleEndian.Uint32(rest) != frameMagic {
		return nil, 0, false
	}
	batch = binary.LittleEndian.Uint64(rest[magicBytes:])
	length := int(binary.LittleEndian.Uint32(rest[lengthOffset:]))
	if length > len(rest)-frameHead {
		return nil, 0, false
	}
	content = rest[frameHead : frameHead+length]
	sum := binary.LittleEndian.Uint32(rest[sumOffset:])
	return content, batch, sum == frameSum(content, int64(offset), batch)
}

// laterFrame says whether a sound frame of a later batch stands anywhere after
// an offset.
func laterFrame(data []byte, offset int, batch uint64) bool {
	var magic [magicBytes]byte
	binary.LittleEndian.PutUint32(magic[:], frameMagic)
	for offset++; offset < len(data); offset++ {
		found := bytes.Index(data[offset:], magic[:])
		if found < 0 {
			return false
		}
		offset += found
		if _, later, ok := openFrame(data, offset); ok && later > batch {
			return true
		}
	}
	return false
}

// record is one part of a frame's content.
type record struct {
	kind byte
	data []byte
}

func (r *Recorder) addRecord(kind byte, data []byte) {
	r.buffer = append(r.buffer, kind)
	r.buffer = binary.LittleEndian.AppendUint32(r.buffer, uint32(len(data)))
	r.buffer = append(r.buffer, data...)
}

func (r *Recorder) addHard() error {
	data, err := encoder.EncodeHardState(r.hard)
	if err != nil {
		return err
	}
	r.addRecord(hardRecord, data)
	return nil
}

func (r *Recorder) addFloor(reset bool) {
	kind := floorRecord
	if reset {
		kind = resetRecord
	}
	data := binary.LittleEndian.AppendUint64(nil, r.floor.index)
	r.addRecord(kind, binary.LittleEndian.AppendUint64(data, r.floor.term))
}

func (r *Recorder) addEntry(entry replicator.Entry) error {
	data, err := encoder.EncodeEntry(entry)
	if err != nil {
		return err
	}
	r.addRecord(entryRecord, data)
	return nil
}

// splitRecords parts a frame's content.
func splitRecords(content []byte) ([]record, bool) {
	var records []record
	for len(content) > 0 {
		if len(content) < recordHead {
			return nil, false
		}
		length := int(binary.LittleEndian.Uint32(content[1:]))
		if length > len(content)-recordHead {
			return nil, false
		}
		end := recordHead + length
		records = append(records, record{kind: content[0], data: content[recordHead:end]})
		content = content[end:]
	}
	return records, true
}
