package trace

// SetMaxBytes sets the maximum size of the file.
func (r *Recorder) SetMaxBytes(bytes int) { r.maxBytes = bytes }
