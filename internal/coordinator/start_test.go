package coordinator

import (
	"net/http"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/protocol/adminapi"
	"coltsfootpath.example/coltsfootpath/internal/standin/cloud"
	"coltsfootpath.example/coltsfootpath/internal/standin/logservice"
)

// TestStatusRequestDuringStartPanics: the admin server accepts requests before Start
// returns.
func TestStatusRequestDuringStartPanics(t *testing.T) {
	const token = "admin-test-token-0001"
	var set Settings
	set.Schema()
	set.VM, set.AdminToken = "entry-1", token
	set.AdminListen, set.PeerListen, set.MetricsListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	c := newCoordinator(set, Dependencies{Log: logservice.New(logservice.Config{}), Cloud: cloud.New(cloud.Config{}), Clock: ports.SystemClock{}})
	t.Cleanup(c.Close)
	if err := c.listen(); err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodGet, "http://"+c.AdminAddress()+adminapi.StatusPath, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+token)
	client := &http.Client{Timeout: 10 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
}
