// Command review-cluster runs one case of the review: real controllers as separate processes,
// with small stand-ins for the state service, the cloud, the workers, the users and the links
// between controllers, all on loopback addresses and the real clock. The stand-ins follow the
// pages and share no code with the daemon.
package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
)

type m = map[string]any

var decMode, _ = cbor.DecOptions{DefaultMapType: nil}.DecMode()

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

func decode(b []byte, v any) error {
	if err := cbor.Unmarshal(b, v); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	return nil
}

const maxBody = 64 << 10

func respond(w http.ResponseWriter, status int, v any) {
	var b []byte
	if v != nil {
		b = encode(v)
	}
	w.Header().Set("Content-Type", "application/cbor")
	w.Header().Set("Content-Length", fmt.Sprint(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

// call sends one request and returns status, body and Retry-After; status 0 means no answer.
func call(client *http.Client, timeout time.Duration, method, url string, body []byte) (int, []byte, string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var r io.Reader
	if body != nil {
		r = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, r)
	if err != nil {
		return 0, nil, ""
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, ""
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, ""
	}
	return resp.StatusCode, b, resp.Header.Get("Retry-After")
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second}}
}

type jobSpec struct {
	ID         string   `cbor:"id"`
	Class      string   `cbor:"berth"`
	Team       string   `cbor:"crew"`
	Kind       string   `cbor:"rig"`
	Priority   string   `cbor:"tide"`
	Tasks      uint64   `cbor:"hauls"`
	CPUs       float64  `cbor:"cores"`
	GPUs       float64  `cbor:"gpus"`
	GB         float64  `cbor:"memory_gb"`
	Image      string   `cbor:"hullcast"`
	ImageGB    float64  `cbor:"image_gb"`
	Types      []string `cbor:"hulls"`
	Zone       *string  `cbor:"quay"`
	OneZone    bool     `cbor:"together"`
	Spread     bool     `cbor:"scatter"`
	Spot       bool     `cbor:"driftstock"`
	EstimateS  float64  `cbor:"passage_s"`
	SaveEveryS float64  `cbor:"logmark_s"`
	SaveS      float64  `cbor:"stow_s"`
	DeadlineS  *float64 `cbor:"landfall_s"`

	RunS float64 `cbor:"-"` // how long a task really runs
}

type order struct {
	Op      string  `cbor:"order"`
	Task    string  `cbor:"haul"`
	Attempt uint64  `cbor:"launch"`
	GraceS  float64 `cbor:"slack_s"`
}

type commands struct {
	Token   *uint64 `cbor:"helm"`
	Session *uint64 `cbor:"watch"`
	Orders  []order `cbor:"orders"`
}
