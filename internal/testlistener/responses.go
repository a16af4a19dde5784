package testlistener

import "fmt"

// InvalidResponses returns what servers in trouble send in place of a response with a body, by
// name. All end with the connection.
func InvalidResponses(body string) map[string]string {
	unframed := "Id: a\r\n\r\n" + body
	framed := fmt.Sprintf("Id: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)

	return map[string]string{
		"status 000":                          "HTTP/1.1 000 Unknown\r\n" + framed,
		"status 000, unframed":                "HTTP/1.1 000 Unknown\r\n" + unframed,
		"status 000, then a whole response":   "HTTP/1.1 000 Unknown\r\n\r\nHTTP/1.1 200 OK\r\n" + framed,
		"status 099, then a whole response":   "HTTP/1.1 099 Unknown\r\n\r\nHTTP/1.1 200 OK\r\n" + framed,
		"status +99, then a whole response":   "HTTP/1.1 +99 Unknown\r\n\r\nHTTP/1.1 200 OK\r\n" + framed,
		"another protocol, unasked":           "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n" + unframed,
		"another protocol, then a response":   "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n" + framed,
		"interim response, then a status 000": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Unknown\r\n" + framed,
	}
}

// SoundResponses returns unusual responses with a body that are whole, by name. All end with the
// connection.
func SoundResponses(body string) map[string]string {
	framed := fmt.Sprintf("Id: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)

	return map[string]string{
		"length":            "HTTP/1.1 200 OK\r\n" + framed,
		"unframed":          "HTTP/1.1 200 OK\r\nId: a\r\n\r\n" + body,
		"chunked":           fmt.Sprintf("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		"no reason":         "HTTP/1.1 200\r\n" + framed,
		"LF":                fmt.Sprintf("HTTP/1.1 200 OK\nId: a\nContent-Length: %d\n\n%s", len(body), body),
		"interim responses": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\n" + framed,
		"unknown interim":   "HTTP/1.1 199 Unknown\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n" + framed,
	}
}
