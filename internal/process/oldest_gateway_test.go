package process_test

import (
	"bufio"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStreamsOfTheOldestGateway guards against streams that can't be resumed because their gateway was
// lost a moment after all others had begun: it alone knew that there was one version, and it kept its
// records to itself.
func TestStreamsOfTheOldestGateway(t *testing.T) {
	const (
		streams = 20
		// certainAfter is longer than a gateway takes to be certain that there is one version.
		certainAfter = 13 * time.Second
		// contactTime is the time that gateways have to be in touch after they began.
		contactTime = 3 * time.Second
		oldest      = 3
	)
	is := is.New(t)
	f := streamFleet(t, oldest+1, 0, "v1")
	keepRunning(t, certainAfter)
	for number := range oldest {
		f.replaceGateway(t, number)
	}
	keepRunning(t, contactTime)
	for number := range streams {
		is.Equal(f.readEvent(t, oldest, fmt.Sprint("stream-", number), nil), http.StatusOK)
	}
	f.awaitRoundOfRecords(t)
	is.NoErr(f.gateways[oldest].Close())
	continued := 0
	for number := range streams {
		resume := map[string]string{"Resumes": fmt.Sprint("stream-", number), "Last-Event-Id": "1"}
		if f.readEvent(t, number%oldest, fmt.Sprint("again-", number), resume) == http.StatusOK {
			continued++
		}
	}
	t.Logf("%d of %d streams went on", continued, streams)
	is.Equal(continued, streams)
}

// awaitRoundOfRecords waits for longer than gateways take to send the records of new streams.
func (f *fleet) awaitRoundOfRecords(t *testing.T) {
	t.Helper()
	keepRunning(t, 300*time.Millisecond)
}

// readEvent requests a stream, reads its first event, closes the connection and returns the status.
func (f *fleet) readEvent(t *testing.T, gateway int, id string, header map[string]string) int {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+f.callerAddress(gateway)+"/chat/1", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = host
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Api-Key", "key-1")
	request.Header.Set("X-Deadline-Ms", "5000")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusOK {
		if _, err := bufio.NewReader(response.Body).ReadString('\n'); err != nil {
			t.Fatal(err)
		}
	}
	return response.StatusCode
}
