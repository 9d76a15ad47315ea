package placement

// Model keeps engines that run the base model of the request's adapter.
type Model struct{}

// Keep implements Filter.
func (Model) Keep(r *Request, c *Candidate) bool { return c.Engine.spec.BaseModel == r.BaseModel }
