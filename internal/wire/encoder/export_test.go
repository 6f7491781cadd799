package encoder

// Seal writes a valid tag into any byte slice that is long enough to hold a header.
func Seal(d []byte, k Key) []byte {
	if len(d) >= HeaderSize {
		clear(d[tagOffset:HeaderSize])
		seal(k, d)
	}
	return d
}
