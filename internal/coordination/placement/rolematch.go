package placement

// RoleMatch keeps engines whose role matches that of the request.
type RoleMatch struct{}

// Keep implements Filter.
func (RoleMatch) Keep(r *Request, c *Candidate) bool {
	return r.Role == RoleBoth || c.Engine.role == RoleBoth || c.Engine.role == r.Role
}
