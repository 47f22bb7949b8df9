package trace

// SetMax sets the bound of the file.
func (r *Recorder) SetMax(bytes int) { r.max = bytes }
