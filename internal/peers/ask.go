package peers

import (
	"encoding/json"
	"math/rand/v2"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// errNoPeers means that no address of another node is known.
var errNoPeers = errors.New("no peer address is known")

// askAny calls ask for the addresses (IP:port) in random order, at most for the given number of them, until
// one call succeeds.
func askAny[T any](addresses []string, limit int, ask func(address string) (T, error)) (answer T, err error) {
	err = errNoPeers
	order := rand.Perm(len(addresses))
	for _, index := range order[:min(limit, len(order))] {
		if answer, err = ask(addresses[index]); err == nil {
			return answer, nil
		}
	}
	return *new(T), err
}

// getOnce sends one GET request to the node at the address over a new connection. The response is only valid
// while receive runs. If there is no response, the error is marked with errNoResponse.
func getOnce(address, path string, receive func(response *fasthttp.Response) error) error {
	client := newClient(address, 1)
	defer client.CloseIdleConnections()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + path)
	request.SetConnectionClose()
	if err := client.DoTimeout(request, response, requestTimeout); err != nil {
		return errors.Mark(err, errNoResponse)
	}
	return receive(response)
}

// bodyOf returns the body of a response, or an error if its status is not OK.
func bodyOf(response *fasthttp.Response) ([]byte, error) {
	if status := response.StatusCode(); status != fasthttp.StatusOK {
		return nil, errors.Newf("the peer returned status %d", status)
	}
	return response.BodyUncompressed()
}

// decodeBody decodes the JSON body of a response, or returns an error if its status is not OK.
func decodeBody(response *fasthttp.Response, into any) error {
	body, err := bodyOf(response)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, into)
}
