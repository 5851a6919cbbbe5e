package placement

// Node is a live member that may own servers.
type Node struct {
	// ID names the member.
	ID   string
	Zone string
}

// Server is a back-end server to be owned.
type Server struct {
	Service string
	Name    string
	Zone    string
}
