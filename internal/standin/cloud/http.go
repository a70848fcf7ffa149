package cloud

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/protocol/cloudapi"
	"coltsfootpath.example/coltsfootpath/internal/transport/httpserver"
)

const maxBodyBytes = 1 << 20

// ReclaimRequest asks to reclaim one VM or, if VM is empty, all VMs of an
// availability zone.
type ReclaimRequest struct {
	VM               string `json:"vm,omitempty"`
	AvailabilityZone string `json:"availability_zone,omitempty"`
	NoticeMillis     int64  `json:"notice_ms"`
}

// Handler serves the cloud's HTTP protocol and the control paths /faults, /add
// and /reclaim.
func (c *Cloud) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+cloudapi.VMsPath, func(w http.ResponseWriter, r *http.Request) {
		vms, err := c.ListVMs(r.Context())
		writeAnswer(w, cloudapi.VMsAnswer{VMs: vms}, err)
	})
	mux.HandleFunc("GET "+cloudapi.NoticesPath, func(w http.ResponseWriter, r *http.Request) {
		vms, err := c.Notices(r.Context())
		writeAnswer(w, cloudapi.VMsAnswer{VMs: vms}, err)
	})
	mux.HandleFunc("GET "+cloudapi.PricesPath, func(w http.ResponseWriter, r *http.Request) {
		prices, err := c.Prices(r.Context())
		writeAnswer(w, cloudapi.PricesAnswer{Prices: prices}, err)
	})
	mux.HandleFunc("POST "+cloudapi.StartPath, jsonHandler(func(r *http.Request, in ports.StartOrder) (ports.VM, error) {
		return c.StartVM(r.Context(), in)
	}))
	mux.HandleFunc("POST "+cloudapi.StopPath, jsonHandler(func(r *http.Request, in cloudapi.StopRequest) (cloudapi.StopRequest, error) {
		return in, c.StopVM(r.Context(), in.ID, in.FencingToken)
	}))
	mux.HandleFunc("POST /faults", jsonHandler(func(_ *http.Request, in Faults) (Faults, error) {
		c.SetFaults(in)
		return in, nil
	}))
	mux.HandleFunc("POST /add", jsonHandler(func(_ *http.Request, in ports.VM) (ports.VM, error) {
		c.Add(in)
		return in, nil
	}))
	mux.HandleFunc("POST /reclaim", jsonHandler(func(_ *http.Request, in ReclaimRequest) (cloudapi.VMsAnswer, error) {
		return cloudapi.VMsAnswer{VMs: c.executeReclaimRequest(in)}, nil
	}))
	return mux
}

func (c *Cloud) executeReclaimRequest(in ReclaimRequest) []ports.VM {
	return c.Reclaim(time.Duration(in.NoticeMillis)*time.Millisecond, func(vm ports.VM) bool {
		if in.VM != "" {
			return vm.ID == in.VM
		}
		return vm.AvailabilityZone == in.AvailabilityZone
	})
}

func jsonHandler[In, Out any](f func(*http.Request, In) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in In
		if err := httpserver.ReadJSON(r, maxBodyBytes, &in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		out, err := f(r, in)
		writeAnswer(w, out, err)
	}
}

func writeAnswer(w http.ResponseWriter, value any, err error) {
	if err == nil {
		httpserver.WriteJSON(w, http.StatusOK, value)
		return
	}
	status := http.StatusInternalServerError
	if errors.IsAny(err, ports.ErrOverloaded, ports.ErrUnavailable) {
		status = http.StatusServiceUnavailable
	}
	http.Error(w, err.Error(), status)
}
