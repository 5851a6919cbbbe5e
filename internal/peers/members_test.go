package peers

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/driftstage/driftstage/internal/members"
)

// Guards against a seed that encodes its list for each of hundreds of nodes that start together.
func TestMembersAreEncodedOnceForManyRequests(t *testing.T) {
	is := is.New(t)
	known, calls := nodes("near", 900), 0
	server := &MemberServer{Latest: func() ([]members.Member, bool) {
		calls++
		return known, true
	}}
	now := time.Unix(1000, 0)
	first, err := server.encoded(now)
	is.NoErr(err)
	for number := range 300 {
		body, err := server.encoded(now.Add(time.Duration(number) * time.Millisecond))
		is.NoErr(err)
		is.Equal(&body[0], &first[0])
	}
	is.Equal(calls, 1)
	var response fasthttp.Response
	response.Header.SetContentEncoding("gzip")
	response.SetBody(first)
	plain, err := response.BodyUncompressed()
	is.NoErr(err)
	var received []members.Member
	is.NoErr(json.Unmarshal(plain, &received))
	is.Equal(fmt.Sprint(received), fmt.Sprint(known))
	known = known[1:]
	_, err = server.encoded(now.Add(membersReuse))
	is.NoErr(err)
	is.Equal(calls, 2)
}
