package limiter

import "bytes"

// Price is what received bytes take of the instance's memory, in bytes, with what the garbage
// collector needs beside what is in use.
type Price struct {
	// HeadByte is for each byte of a head, and HeadLine is added for each of its lines: a
	// header of a few bytes takes an entry of a map, a slice and two strings.
	HeadByte, HeadLine int64
	// BodyByte is for each byte of a body: its buffer as it grows, and what it is decoded
	// into.
	BodyByte int64
}

// RequestPrice returns the price of HTTP requests. It holds for bodies that are read by
// ReadJSON.
func RequestPrice() Price { return Price{HeadByte: 4, HeadLine: 256, BodyByte: 8} }

// MessagePrice returns the price of messages whose length precedes them, which have no head.
func MessagePrice() Price { return Price{HeadByte: 8, BodyByte: 8} }

// of returns the price of received bytes.
func (p Price) of(b []byte, inBody bool) int64 {
	if inBody {
		return p.BodyByte * int64(len(b))
	}
	return p.HeadByte*int64(len(b)) + p.HeadLine*int64(bytes.Count(b, []byte{'\n'}))
}
