package testlistener

import "fmt"

// InvalidResponses returns what servers in trouble send in place of a response with a body, by
// name. All end with the connection.
func InvalidResponses(body string) map[string]string {
	unframed := "Id: a\r\n\r\n" + body
	framed := fmt.Sprintf("Id: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)

	responses := map[string]string{
		"status 000":                          "HTTP/1.1 000 Unknown\r\n" + framed,
		"status 000, unframed":                "HTTP/1.1 000 Unknown\r\n" + unframed,
		"status 000, then a whole response":   "HTTP/1.1 000 Unknown\r\n\r\nHTTP/1.1 200 OK\r\n" + framed,
		"status 099, then a whole response":   "HTTP/1.1 099 Unknown\r\n\r\nHTTP/1.1 200 OK\r\n" + framed,
		"status +99, then a whole response":   "HTTP/1.1 +99 Unknown\r\n\r\nHTTP/1.1 200 OK\r\n" + framed,
		"another protocol, unasked":           "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n" + unframed,
		"another protocol, then a response":   "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n" + framed,
		"interim response, then a status 000": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Unknown\r\n" + framed,
		"LF, blank before the colon":          fmt.Sprintf("HTTP/1.1 200 OK\nId: a\nContent-Length : %d\n\n%s", len(body), body),
		"chunked, blank before the colon":     fmt.Sprintf("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding : chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		"blank in an interim response":        "HTTP/1.1 103 Early Hints\r\nA b: c\r\n\r\nHTTP/1.1 200 OK\r\n" + framed,
		"blank after an interim response":     "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nA b: c\r\n" + framed,
	}
	for name, line := range map[string]string{
		"blank in a name":             "A b: c",
		"blank before a colon":        "A : b",
		"blank before a line":         " A: b",
		"blank before a length":       " Content-Length: 1",
		"blank in a length":           "Content -Length: 1",
		"blank after a length":        "Content-Length : 1",
		"tab in a name":               "A\tb: c",
		"tab before a colon":          "A\t: b",
		"tab before a line":           "\tA: b",
		"NUL in a name":               "A\x00b: c",
		"escape in a name":            "A\x1bb: c",
		"delete in a name":            "A\x7fb: c",
		"carriage return in a name":   "A\rb: c",
		"carriage return before line": "\rA: b",
		"no name":                     ": b",
		"blank as a name":             " : b",
		"no colon":                    "A",
	} {
		responses[name] = "HTTP/1.1 200 OK\r\nB: c\r\n" + line + "\r\n" + framed
		responses[name+", unframed"] = "HTTP/1.1 200 OK\r\nB: c\r\n" + line + "\r\n" + unframed
	}

	return responses
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
		"unusual names":     "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~0aZ: b\r\nserver_1.x: c\r\nEmpty:\r\nTab:\tb\t\r\nColons: a:b: c\r\n" + framed,
		"unknown interim":   "HTTP/1.1 199 Unknown\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n" + framed,
	}
}
