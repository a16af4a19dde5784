package main

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/damasklever/damasklever/internal/emulator"
)

// engineMain runs a fake engine until it receives a signal.
func engineMain() {
	var s emulator.EngineSettings
	listen := flag.String("listen", "", "ip:port")
	flag.StringVar(&s.Role, "role", "decode", "prefill or decode")
	flag.Int64Var(&s.Pieces, "pieces", 40, "memory")
	flag.Float64Var(&s.DecodeRate, "rate", 200, "tokens per second of each stream")
	flag.Parse()
	engine, err := emulator.NewEngine(s)
	if err == nil {
		err = engine.Start(*listen)
	}
	waitForSignal(err)
	_ = engine.Close()
}

// plainMain runs a fake plain service until it receives a signal.
func plainMain() {
	listen := flag.String("listen", "", "ip:port")
	flag.Parse()
	service := emulator.NewPlainService(time.Second)
	waitForSignal(service.Start(*listen))
	_ = service.Close()
}

func waitForSignal(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
}

// callerMain sends an HTTP request and prints the response: the status, the headers that the
// scripts check and the body.
func callerMain() {
	var headers headerList
	flag.Var(&headers, "h", "header as Name: value, may be repeated")
	method := flag.String("m", http.MethodPost, "method")
	body := flag.String("d", "", "body")
	size := flag.Int("size", 0, "send a body of this many bytes instead")
	prompt := flag.Int("prompt", 0, "send a completion with a prompt of this many bytes instead")
	retry := flag.Bool("retry", false, "retry after the time in Retry-After")
	first := flag.Bool("first", false, "disconnect after the first line of the body")
	flag.Parse()
	if *size > 0 {
		*body = strings.Repeat("x", *size)
	}
	if *prompt > 0 {
		*body = `{"model":"summary","prompt":"` + strings.Repeat("note ", *prompt/5) + `"}`
	}
	response := send(*method, flag.Arg(0), *body, headers)
	for tries := 1; *retry && response.Header.Get("Retry-After") != "" && tries < maxTries; tries++ {
		after, err := strconv.Atoi(response.Header.Get("Retry-After"))
		exitOnError(err)
		response.Body.Close()
		<-time.After(time.Duration(after) * time.Second)
		response = send(*method, flag.Arg(0), *body, headers)
	}
	defer response.Body.Close()
	fmt.Println("status", response.StatusCode)
	for _, name := range []string{"Content-Type", "Damask-Outcome"} {
		if value := response.Header.Get(name); value != "" {
			fmt.Printf("%s: %s\n", name, value)
		}
	}
	for _, name := range []string{"Damask-Request", "Retry-After"} {
		if response.Header.Get(name) != "" {
			fmt.Printf("%s: present\n", name)
		}
	}
	if *first {
		line, err := bufio.NewReader(response.Body).ReadString('\n')
		exitOnError(err)
		fmt.Print(normalize(line))

		return
	}
	fmt.Println(normalize(strings.TrimSuffix(readAll(response), "\n")))
}

// nondeterministic matches the parts of a response that differ from run to run. The keys are
// their replacements.
var nondeterministic = map[string]*regexp.Regexp{
	"REQUEST":     regexp.MustCompile(`entry-[0-9]+-[0-9a-z]+-[0-9]+`),
	"created\":0": regexp.MustCompile(`created":[0-9]+`),
}

func normalize(text string) string {
	for name, pattern := range nondeterministic {
		text = pattern.ReplaceAllString(text, name)
	}

	return text
}

// maxTries limits the attempts of a caller with -retry.
const maxTries = 10

func send(method, url, body string, headers headerList) *http.Response {
	request, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
	exitOnError(err)
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ":")
		request.Header.Set(name, strings.TrimSpace(value))
	}
	client := &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	response, err := client.Do(request)
	exitOnError(err)

	return response
}

type headerList []string

// String implements flag.Value.
func (h *headerList) String() string { return strings.Join(*h, ", ") }

// Set implements flag.Value.
func (h *headerList) Set(text string) error {
	*h = append(*h, text)

	return nil
}

func exitOnError(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "caller:", err)
		os.Exit(1)
	}
}

func readAll(response *http.Response) string {
	var b bytes.Buffer
	if _, err := io.Copy(&b, response.Body); err != nil {
		return b.String() + "\n[body cut off: " + err.Error() + "]"
	}

	return b.String()
}
